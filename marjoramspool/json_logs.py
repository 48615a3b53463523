"""Log lines as JSON on a file descriptor, bounded and never blocking."""

import os
import time

import msgspec
from logbook import Handler

__all__ = ["JsonLines"]

LINES_A_SECOND = 400
BYTES_KEPT = 1 << 18
LAST_MOMENT_S = 0.1


class JsonLines(Handler):
    """Write each record as one JSON line; drop and count what goes beyond the bounds.

    At most `LINES_A_SECOND` lines are written a second, and at most `BYTES_KEPT` bytes wait for a
    reader that does not read.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.encoder = msgspec.json.Encoder(enc_hook=str)
        self.waiting = bytearray()
        self.second = 0
        self.lines = 0
        self.dropped = 0

    def emit(self, record) -> None:
        """Write one record if the bounds allow it."""
        moment = time.time()
        if int(moment) != self.second:
            self.second = int(moment)
            self.lines = 0
            if self.dropped:
                self.write({"t": round(moment, 3), "event": "LINES_DROPPED", "lines": self.dropped})
                self.dropped = 0
        if self.lines >= LINES_A_SECOND or len(self.waiting) > BYTES_KEPT:
            self.dropped += 1
            return
        self.lines += 1
        fields = record.extra.get("fields", {})
        head = {"t": round(moment, 3), "level": record.level_name}
        self.write(head | {"event": record.extra["event"]} | fields)

    def write(self, line: dict) -> None:
        """Put a line into the buffer, and write as much of it as the reader takes."""
        self.waiting += self.encoder.encode(line) + b"\n"
        self.push()

    def finish(self) -> None:
        """Give the reader a last moment to take what waits."""
        give_up = time.monotonic() + LAST_MOMENT_S
        while self.waiting and time.monotonic() < give_up:
            self.push()
            time.sleep(0.01)

    def push(self) -> None:
        """Write as much of the buffer as the reader takes."""
        try:
            written = os.write(self.descriptor, self.waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more; there is nowhere to say so.
            written = len(self.waiting)
        del self.waiting[:written]
