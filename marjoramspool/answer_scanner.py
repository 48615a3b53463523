"""Scan of received bytes, which finds where an answer ends and whether it is well-formed."""

from marjoramspool.answer_grammar import (
    MAX_LINE_BYTES,
    Body,
    Expected,
    Line,
    MalformedAnswerError,
    answer_grammar,
)

__all__ = ["AnswerScanner"]


class AnswerScanner:
    """Scanner of the answer to one request, the interim answers before it included."""

    __slots__ = ("expected", "grammar", "line", "remaining")

    def __init__(self, is_bodiless: bool = False):
        self.grammar = answer_grammar(is_bodiless)
        # What comes next, None after the end of the answer.
        self.expected: Expected | None = next(self.grammar)
        # The beginning of a line, and the bytes of the body that are still to come.
        self.line = bytearray()
        self.remaining = 0

    @property
    def is_complete(self) -> bool:
        """Return whether the answer has ended, but for one that ends with its connection."""
        return self.expected is None

    @property
    def ends_with_connection(self) -> bool:
        """Return whether the body has begun and goes on until the connection is closed."""
        return isinstance(self.expected, Body) and self.expected.size is None

    def feed(self, data: bytes) -> int:
        """Return how many bytes belong to the answer; raise MalformedAnswerError."""
        position = 0
        while position < len(data):
            match self.expected:
                case None:
                    return position
                case Line():
                    position = self.take_line(data, position)
                case Body(None):
                    return len(data)
                case Body():
                    position = self.take_body(data, position)
        return position

    def take_line(self, data: bytes, start: int) -> int:
        """Take the rest of a line, as far as it was received; return where it ends."""
        end = data.find(b"\n", start) + 1
        taken = data[start : end or len(data)]
        if len(self.line) + len(taken) > MAX_LINE_BYTES:
            raise MalformedAnswerError("a line is too long", bytes(self.line) + taken)
        if not end:
            self.line += taken
            return len(data)
        line = bytes(self.line) + taken
        self.line.clear()
        self.advance(line)
        return end

    def take_body(self, data: bytes, start: int) -> int:
        """Take the bytes of a body or of a chunk; return where they end."""
        end = min(len(data), start + self.remaining)
        self.remaining -= end - start
        if not self.remaining:
            self.advance(b"")
        return end

    def advance(self, line: bytes) -> None:
        """Pass a line on, empty after a body; find out what comes next."""
        try:
            self.expected = self.grammar.send(line)
        except StopIteration:
            self.expected = None
        if isinstance(self.expected, Body):
            self.remaining = self.expected.size or 0
