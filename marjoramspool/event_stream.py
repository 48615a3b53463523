"""Splitter of server-sent event streams into complete events."""

from dataclasses import dataclass

__all__ = ["EventSplitter", "StreamEvent"]

EVENT_DELIMITER = b"\n\n"


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """Complete event: its bytes as received, and its numeric id or None."""

    event_id: int | None
    raw: bytes


class EventSplitter:
    """Incremental splitter; the bytes of an unfinished event are kept in `incomplete`."""

    __slots__ = ("incomplete",)

    def __init__(self):
        self.incomplete = b""

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Add received bytes; return the events that they complete."""
        *complete, self.incomplete = (self.incomplete + chunk).split(EVENT_DELIMITER)
        return [StreamEvent(parse_event_id(raw), raw + EVENT_DELIMITER) for raw in complete]


def parse_event_id(raw: bytes) -> int | None:
    """Return the id of an event; None if it has no id or one that is not a number."""
    for line in raw.split(b"\n"):
        field, _, value = line.partition(b":")
        if field == b"id":
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None
