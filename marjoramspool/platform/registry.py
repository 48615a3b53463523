"""Decode the entries that engines register in the store."""

import msgspec

from marjoramspool.clock import now
from marjoramspool.engine_list import Engine
from marjoramspool.events import Event, log

__all__ = ["decode_engine"]

MS_PER_S = 1000.0
STATES = ("ready", "draining")


class EntryFields(msgspec.Struct, frozen=True):
    """Decode what an engine says of itself."""

    service: str
    address: str
    state: str
    slots: int
    zone: str = ""
    cold_remaining_ms: float = 0.0
    # The Unix millisecond of this start; it tells two starts under one id apart.
    born: int = 0


def decode_engine(name: str, *payloads: msgspec.Raw) -> Engine | None:
    """Return a registered engine from the side of the entry that holds it, None if none can.

    An entry may come from another writer and be unreadable.
    """
    fault: Exception | None = None
    for payload in payloads:
        try:
            fields = msgspec.json.decode(payload, type=EntryFields)
        except msgspec.MsgspecError as error:
            fault = fault or error
            continue
        host, _, port = fields.address.rpartition(":")
        if fields.state not in STATES or not host or not port.isdigit():
            fault = ValueError(f"state {fields.state!r}, address {fields.address!r}")
            continue
        return Engine(
            id=name,
            service=fields.service,
            address=fields.address,
            failure_domain=fields.zone,
            slots=fields.slots,
            is_draining=fields.state == "draining",
            started_ms=fields.born,
            cold_until=now() + fields.cold_remaining_ms / MS_PER_S,
        )
    log(Event.REGISTRATION_UNREADABLE, engine=name, fault=str(fault))
    return None
