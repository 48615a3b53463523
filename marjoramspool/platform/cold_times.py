"""Cold times that engines name in registrations and answers."""

import math

from marjoramspool.malformed_notices import MalformedNotices

__all__ = ["parse_cold_ms", "read_cold_time"]

MS = 1000.0
# No engine takes longer to get warm.
MAX_COLD_S = 3600.0

malformed = MalformedNotices()


def read_cold_time(engine: str, value: object) -> float | None:
    """Return the seconds for which an engine is still cold; None if it is not said or malformed."""
    if value is None:
        return None
    try:
        return parse_cold_ms(value)
    except ValueError as error:
        malformed.record(engine, str(error))
        return None


def parse_cold_ms(value: object) -> float:
    """Return the seconds of a number or text in milliseconds; raise ValueError if malformed."""
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        raise ValueError(f"{value!r} is no cold time")
    try:
        remaining_s = float(value) / MS
    except OverflowError:
        remaining_s = math.inf
    if not 0.0 <= remaining_s <= MAX_COLD_S:
        raise ValueError(f"{value!r} is no cold time in milliseconds")
    return remaining_s
