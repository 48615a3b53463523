"""Splitter of server-sent event streams into complete events."""

import re
from dataclasses import dataclass

__all__ = ["EventSplitter", "StreamEvent"]

# An empty line ends an event; lines end with LF, CR LF or CR.
EVENT_END = re.compile(rb"\r\n\r\n|\r\n\n|\n\r\n|\n\n|\r\r")
# All bytes of an event's end but the last may have been received before.
MAX_END_OVERLAP_BYTES = 3
# Ids fit into the messages between routers.
MAX_ID_DIGITS = 18


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """Complete event: its bytes as received, and its numeric id or None."""

    event_id: int | None
    raw: bytes

    @property
    def is_comment(self) -> bool:
        """Return whether it has comments only, as engines send them to keep connections open."""
        return all(line.startswith(b":") for line in self.raw.splitlines() if line)


class EventSplitter:
    """Incremental splitter; the bytes of an unfinished event are kept in `incomplete`."""

    __slots__ = ("incomplete",)

    def __init__(self):
        self.incomplete = b""

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Add received bytes; return the events that they complete."""
        searched = max(0, len(self.incomplete) - MAX_END_OVERLAP_BYTES)
        data = self.incomplete + chunk
        events = []
        start = 0
        for match in EVENT_END.finditer(data, searched):
            raw = data[start : match.end()]
            events.append(StreamEvent(parse_event_id(raw), raw))
            start = match.end()
        self.incomplete = data[start:]
        return events


def parse_event_id(raw: bytes) -> int | None:
    """Return the id of an event; None if it has no id or one that is not a number."""
    for line in raw.splitlines():
        field, _, value = line.partition(b":")
        if field == b"id":
            text = value.strip()
            return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None
    return None
