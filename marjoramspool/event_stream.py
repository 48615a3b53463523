"""Splitting a stream of server-sent events into whole events."""

from dataclasses import dataclass

__all__ = ["EventSplitter", "StreamEvent"]

BREAK = b"\n\n"


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """Hold one whole event as it came, and its number if it has one."""

    number: int | None
    raw: bytes


class EventSplitter:
    """Cut bytes into whole events; what is not whole yet stays in `rest`."""

    __slots__ = ("rest",)

    def __init__(self):
        self.rest = b""

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that are whole now."""
        *whole, self.rest = (self.rest + chunk).split(BREAK)
        return [StreamEvent(number_of(raw), raw + BREAK) for raw in whole]


def number_of(raw: bytes) -> int | None:
    """Return the number of an event, None if it has none."""
    for line in raw.split(b"\n"):
        field, _, value = line.partition(b":")
        if field == b"id":
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None
