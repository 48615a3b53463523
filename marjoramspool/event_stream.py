"""Splitting a stream of server-sent events into whole events."""

from dataclasses import dataclass

__all__ = ["EventSplitter", "StreamEvent"]

EVENT_DELIMITER = b"\n\n"


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """Hold one whole event as it came, and its number if it has one."""

    event_id: int | None
    raw: bytes


class EventSplitter:
    """Cut bytes into whole events; what is not whole yet stays in `incomplete`."""

    __slots__ = ("incomplete",)

    def __init__(self):
        self.incomplete = b""

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that are whole now."""
        *complete, self.incomplete = (self.incomplete + chunk).split(EVENT_DELIMITER)
        return [StreamEvent(parse_event_id(raw), raw + EVENT_DELIMITER) for raw in complete]


def parse_event_id(raw: bytes) -> int | None:
    """Return the number of an event, None if it has none."""
    for line in raw.split(b"\n"):
        field, _, value = line.partition(b":")
        if field == b"id":
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None
