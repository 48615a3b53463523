"""Grammar of HTTP/1.1 answers: status lines, fields, chunks, and how the body is delimited.

References: RFC 9110 (semantics), RFC 9112 (HTTP/1.1).
"""

import re
from collections import defaultdict
from collections.abc import Generator, Iterable
from dataclasses import dataclass, field

import aiohttp

__all__ = [
    "MAX_LINE_BYTES",
    "Body",
    "Expected",
    "Line",
    "MalformedAnswerError",
    "answer_grammar",
    "is_head_sound",
]

# Longest line of an answer, in bytes.
MAX_LINE_BYTES = 64 << 10
# Bytes of a malformed line that are quoted in the log.
MAX_QUOTED_BYTES = 80
TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
QUOTED = rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"'
# A missing space after the status is common where the reason phrase is empty.
STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([0-9]{3})(?: " + TEXT + rb")?")
# Possessive, so that no line takes time beyond its length.
BLANKS = rb"[ \t]*+"
FIELD_LINE = re.compile(rb"(" + TOKEN + rb"):" + BLANKS + rb"(" + TEXT + rb")")
FOLDED_LINE = re.compile(rb"[ \t]" + BLANKS + rb"(" + TEXT + rb")")
EXTENSION_VALUE = rb"(?:" + BLANKS + rb"=" + BLANKS + rb"(?:" + TOKEN + rb"|" + QUOTED + rb"))?"
CHUNK_SIZE = re.compile(
    rb"0*+([0-9A-Fa-f]{0,15})(?:" + BLANKS + rb";" + BLANKS + TOKEN + EXTENSION_VALUE + rb")*"
)
CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
# Zeros before a length are no digits of it.
LENGTH = re.compile(rb"0*+([0-9]{0,18})")
STATUSES = range(100, 600)
INTERIM_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)
SWITCHING_PROTOCOLS = 101
# Statuses whose answers have no body, whatever their fields say.
BODILESS_STATUSES = (204, 304)
LENGTH_FIELD = b"content-length"
CODING_FIELD = b"transfer-encoding"


class MalformedAnswerError(aiohttp.ClientPayloadError):
    """The bytes are no HTTP/1.1 answer; `excerpt` quotes the line, for the log alone."""

    def __init__(self, why: str, line: bytes = b""):
        super().__init__(why)
        self.excerpt = line[:MAX_QUOTED_BYTES]


@dataclass(slots=True, frozen=True)
class Line:
    """A line is expected, with its end."""


@dataclass(slots=True, frozen=True)
class Body:
    """Bytes of a body are expected, `size` of them, or all until the end if it is None."""

    size: int | None


Expected = Line | Body
Grammar = Generator[Expected, bytes, None]
LINE = Line()


@dataclass(slots=True)
class Head:
    """Status line and fields of an answer, with the values of each field by its lower-case name."""

    minor_version: int
    status: int
    fields: dict[bytes, list[bytes]] = field(default_factory=lambda: defaultdict(list))


def answer_grammar(is_bodiless: bool) -> Grammar:
    """Yield what an answer has to go on with, and receive each line.

    `is_bodiless` is set for the answer to a HEAD request. Raise MalformedAnswerError.
    """
    head = yield from read_head()
    while head.status in INTERIM_STATUSES:
        head = yield from read_head()
    if is_bodiless or head.status in BODILESS_STATUSES:
        return
    if is_chunked(head):
        yield from read_chunks()
        return
    size = body_size(head)
    if size != 0:
        yield Body(size)


def read_head() -> Generator[Expected, bytes, Head]:
    """Return the head of the next answer; empty lines before it are skipped."""
    line = b""
    while not line:
        line = without_end((yield LINE))
    head = parse_status_line(line)
    head.fields = yield from read_fields()
    return head


def read_fields() -> Generator[Expected, bytes, dict[bytes, list[bytes]]]:
    """Return the fields up to the empty line that ends them."""
    fields = defaultdict(list)
    values: list[bytes] | None = None
    while line := without_end((yield LINE)):
        if folded := FOLDED_LINE.fullmatch(line):
            if values is None:
                raise MalformedAnswerError("the first field line begins with a blank", line)
            values[-1] = values[-1].rstrip(b" \t") + b" " + folded[1]
            continue
        match = FIELD_LINE.fullmatch(line)
        if match is None:
            raise MalformedAnswerError("a field line is malformed", line)
        values = fields[match[1].lower()]
        values.append(match[2])
    return fields


def read_chunks() -> Grammar:
    """Yield what a body in chunks has to go on with, its trailer fields included."""
    while size := parse_chunk_size((yield LINE)):
        yield Body(size)
        end = yield LINE
        if end != b"\r\n":
            raise MalformedAnswerError("a chunk does not end where its size says", end)
    yield from read_fields()


def without_end(line: bytes) -> bytes:
    """Return a line of a head without its end, which is CR LF or LF."""
    return line[:-2] if line.endswith(b"\r\n") else line[:-1]


def parse_status_line(line: bytes) -> Head:
    """Return a head without fields; raise MalformedAnswerError."""
    match = STATUS_LINE.fullmatch(line)
    if match is None:
        raise MalformedAnswerError("the status line is malformed", line)
    status = int(match[2])
    if status not in STATUSES:
        raise MalformedAnswerError(f"the status is {status:03}, which is none", line)
    if status == SWITCHING_PROTOCOLS:
        raise MalformedAnswerError("it switches to another protocol, unasked", line)
    return Head(int(match[1]), status)


def is_chunked(head: Head) -> bool:
    """Return whether the body is in chunks; raise MalformedAnswerError for other codings."""
    text = b",".join(head.fields.get(CODING_FIELD, ()))
    codings = [coding.strip(b" \t").lower() for coding in text.split(b",")]
    applied = [coding for coding in codings if coding]
    if not applied:
        return False
    # The HTTP library finds `chunked` only at the end of the field.
    if applied != [b"chunked"] or codings[-1] != b"chunked":
        raise MalformedAnswerError("the transfer coding is unknown", text)
    if head.minor_version == 0 or LENGTH_FIELD in head.fields:
        raise MalformedAnswerError("it is unclear where the body ends", text)
    return True


def body_size(head: Head) -> int | None:
    """Return the length of the body in bytes, None if it has none; raise MalformedAnswerError."""
    values = head.fields.get(LENGTH_FIELD)
    if values is None:
        return None
    value = values[0].rstrip(b" \t")
    match = LENGTH.fullmatch(value)
    if len(values) > 1 or not value or match is None:
        raise MalformedAnswerError("the length is malformed", b", ".join(values))
    return int(match[1] or b"0")


def parse_chunk_size(line: bytes) -> int:
    """Return the size of a chunk in bytes; raise MalformedAnswerError."""
    match = CHUNK_SIZE.fullmatch(line.removesuffix(b"\r\n"))
    if match is None or not line.endswith(b"\r\n") or match.end(1) == 0:
        raise MalformedAnswerError("the size of a chunk is malformed", line)
    return int(match[1] or b"0", 16)


def is_head_sound(status: int, headers: Iterable[tuple[str, str]]) -> bool:
    """Return whether the status and the headers of an answer can be passed on to a client."""
    return status in FINAL_STATUSES and not any(
        CONTROL.search(name) or CONTROL.search(value) for name, value in headers
    )
