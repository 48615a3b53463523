"""Checks of what a registration says, before anything counts with it.

Fault: an entry that no engine wrote has a figure so large that the choice of an engine fails, or an
address to which no request can be sent, or a name that no header can carry.
"""

from marjoramspool.addresses import is_endpoint
from marjoramspool.engine_state.engine_list import Engine

__all__ = ["MAX_NAME_LENGTH", "find_fault"]

MAX_SLOTS = 1_000_000
# Unix milliseconds that a JSON number holds exactly.
MAX_STARTED_MS = 1 << 53
# Names are in logs and in messages between routers.
MAX_NAME_LENGTH = 255


def find_fault(engine: Engine) -> str | None:
    """Return what is wrong with a registration, None if an engine may have written it."""
    names = (engine.id, engine.service, engine.address, engine.failure_domain, engine.version)
    if any(len(name) > MAX_NAME_LENGTH for name in names):
        return f"a name is longer than {MAX_NAME_LENGTH} characters"
    if not engine.id or not engine.id.isprintable():
        return f"{engine.id!r} is no name that a header can carry"
    if not is_endpoint(engine.address):
        return f"{engine.address!r} is no IPv4 address with a port"
    if not 1 <= engine.slots <= MAX_SLOTS:
        return f"the slots are not between 1 and {MAX_SLOTS}"
    if not 0 <= engine.started_ms <= MAX_STARTED_MS:
        return "the start time is out of range"
    return None
