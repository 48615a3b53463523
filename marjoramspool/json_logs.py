"""Non-blocking JSON lines log handler with a bounded rate and buffer."""

import os
import time

import msgspec
from logbook import Handler

__all__ = ["JsonLinesHandler"]

MAX_LINES_PER_S = 400
MAX_BUFFERED_BYTES = 1 << 18
FINAL_FLUSH_TIMEOUT_S = 0.1


class JsonLinesHandler(Handler):
    """Log handler that writes each record as one JSON line; drops and counts excess lines.

    At most `MAX_LINES_PER_S` lines are accepted per second. Lines are also dropped while more than
    `MAX_BUFFERED_BYTES` bytes wait for a reader that has stalled.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.encoder = msgspec.json.Encoder(enc_hook=str)
        self.buffer = bytearray()
        self.current_second = 0
        self.lines_this_second = 0
        self.dropped = 0

    def emit(self, record) -> None:
        """Write a record, or count it as dropped if a bound is exceeded."""
        now = time.time()
        if int(now) != self.current_second:
            self.current_second = int(now)
            self.lines_this_second = 0
            if self.dropped:
                self.write({"t": round(now, 3), "event": "LINES_DROPPED", "lines": self.dropped})
                self.dropped = 0
        if self.lines_this_second >= MAX_LINES_PER_S or len(self.buffer) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self.lines_this_second += 1
        fields = record.extra.get("fields", {})
        header = {"t": round(now, 3), "level": record.level_name}
        self.write(header | {"event": record.extra["event"]} | fields)

    def write(self, line: dict) -> None:
        """Append a line to the buffer and flush without blocking."""
        self.buffer += self.encoder.encode(line) + b"\n"
        self.flush()

    def flush_all(self) -> None:
        """Flush the buffer before exit; wait up to `FINAL_FLUSH_TIMEOUT_S` for the reader."""
        deadline = time.monotonic() + FINAL_FLUSH_TIMEOUT_S
        while self.buffer and time.monotonic() < deadline:
            self.flush()
            time.sleep(0.01)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        try:
            written = os.write(self.descriptor, self.buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader closed the pipe, so the error cannot be logged either; discard the lines.
            written = len(self.buffer)
        del self.buffer[:written]
