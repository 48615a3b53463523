"""Answers of targets: broken in each element of the protocol, and odd but legal.

In each, `%id` stands for the id of the request (RFC 9110, RFC 9112).
"""

from standins.raw_target import Ending

__all__ = [
    "BODY",
    "BROKEN",
    "BROKEN_STREAMS",
    "LAST_EVENT",
    "LENGTH",
    "OK",
    "ODD",
    "ODD_STREAMS",
    "STOPPED",
    "STREAM",
    "answer",
    "chunk",
    "chunked",
    "ending_of",
]

NAMED = b"X-Request-Id: %id\r\nX-Response-Signature: sig.9\r\n"
BODY = b"the text of the engine"
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENTS = [b"id: %d\ndata: the text of the engine\n\n" % number for number in range(1, 4)]


def answer(status_line=OK, *fields, body=BODY, length=LENGTH):
    """Return an answer with a length and these fields before it."""
    return status_line + NAMED + b"".join(fields) + length + b"\r\n" + body


def chunked(body, *fields, status_line=OK):
    """Return an answer whose body is in chunks, as given."""
    return answer(status_line, *fields, body=body, length=CHUNKED)


def chunk(data, extension=b""):
    """Return a chunk."""
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


STATUS_LINES = {
    "status 000": b"HTTP/1.1 000 OK\r\n",
    "status 000 without reason": b"HTTP/1.1 000 \r\n",
    "status 001": b"HTTP/1.1 001 OK\r\n",
    "status 099": b"HTTP/1.1 099 OK\r\n",
    "status 600": b"HTTP/1.1 600 OK\r\n",
    "status 999": b"HTTP/1.1 999 OK\r\n",
    "status of two digits": b"HTTP/1.1 20 OK\r\n",
    "status of four digits": b"HTTP/1.1 2000 OK\r\n",
    "no status": b"HTTP/1.1  OK\r\n",
    "status of letters": b"HTTP/1.1 2x0 OK\r\n",
    "negative status": b"HTTP/1.1 -20 OK\r\n",
    "two blanks": b"HTTP/1.1  200 OK\r\n",
    "tab": b"HTTP/1.1\t200 OK\r\n",
    "version 2": b"HTTP/2.0 200 OK\r\n",
    "version 0.9": b"HTTP/0.9 200 OK\r\n",
    "version 1.10": b"HTTP/1.10 200 OK\r\n",
    "version in lower case": b"http/1.1 200 OK\r\n",
    "another protocol": b"RTSP/1.0 200 OK\r\n",
    "blank before the version": b" HTTP/1.1 200 OK\r\n",
    "NUL in the reason": b"HTTP/1.1 200 O\0K\r\n",
    "control byte in the reason": b"HTTP/1.1 200 O\x01K\r\n",
    "CR in the reason": b"HTTP/1.1 200 O\rK\r\n",
}
PROTOCOL_SWITCHES = {
    "101 with Upgrade": answer(
        b"HTTP/1.1 101 Switching Protocols\r\n", b"Upgrade: h2c\r\nConnection: Upgrade\r\n"
    ),
    "101": answer(b"HTTP/1.1 101 Switching Protocols\r\n"),
    "101 without length": answer(b"HTTP/1.1 101 Switching\r\n", length=b""),
}
FIELD_LINES = {
    "blank before the colon": b"X-Other : a\r\n",
    "tab before the colon": b"X-Other\t: a\r\n",
    "blank in a name": b"X Other: a\r\n",
    "control byte in a name": b"X-\x01Other: a\r\n",
    "NUL in a name": b"X-\0Other: a\r\n",
    "DEL in a name": b"X-\x7fOther: a\r\n",
    "byte above 127 in a name": b"X-\xe9: a\r\n",
    "separator in a name": b"X(Other): a\r\n",
    "no name": b": a\r\n",
    "no colon": b"X-Other\r\n",
    "NUL in a value": b"X-Other: a\0b\r\n",
    "control byte in a value": b"X-Other: a\x01b\r\n",
    "escape in a value": b"X-Other: a\x1bb\r\n",
    "backspace in a value": b"X-Other: a\x08\r\n",
    "DEL in a value": b"X-Other: a\x7fb\r\n",
    "CR in a value": b"X-Other: a\rb\r\n",
    "control byte in the type": b"Content-Type: text/\x02plain\r\n",
}
HEADS = {
    "first line begins with a blank": OK + b" X-Other: a\r\n" + answer().removeprefix(OK),
    "first line begins with a tab": OK + b"\tX-Other: a\r\n" + answer().removeprefix(OK),
    "first line is blank": OK + b"  \r\n" + answer().removeprefix(OK),
    "blank before the colon of the coding": answer(
        body=chunk(BODY) + b"0\r\n\r\n", length=b"Transfer-Encoding : chunked\r\n"
    ),
    "blank before the colon of the length": answer(length=b"Content-Length : %d\r\n" % len(BODY)),
    "status line twice": OK + answer(),
    "no fields": OK[:-2],
    "other bytes": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 4,
    "text": BODY + b"\r\n\r\n",
}
LENGTHS = {
    "empty": b"Content-Length: \r\n",
    "negative": b"Content-Length: -5\r\n",
    "signed": b"Content-Length: +22\r\n",
    "hexadecimal": b"Content-Length: 0x16\r\n",
    "fraction": b"Content-Length: 22.0\r\n",
    "with letters": b"Content-Length: 22a\r\n",
    "two numbers": b"Content-Length: 22 22\r\n",
    "list": b"Content-Length: 22, 5\r\n",
    "two that differ": b"Content-Length: 5\r\nContent-Length: 22\r\n",
    "too large": b"Content-Length: 99999999999999999999999\r\n",
    "of 5,000 digits": b"Content-Length: " + b"9" * 5000 + b"\r\n",
    "too long": b"Content-Length: 23\r\n",
}
CODINGS = {
    "gzip": (b"gzip", BODY),
    "unknown": (b"rot13", BODY),
    "identity": (b"identity", BODY),
    "gzip, then chunks": (b"gzip, chunked", chunk(BODY) + b"0\r\n\r\n"),
    "chunks, then gzip": (b"chunked, gzip", chunk(BODY) + b"0\r\n\r\n"),
    "chunks twice": (b"chunked, chunked", chunk(BODY) + b"0\r\n\r\n"),
    "chunks and nothing": (b"chunked,", chunk(BODY) + b"0\r\n\r\n"),
    "quoted": (b'"chunked"', chunk(BODY) + b"0\r\n\r\n"),
    "with a parameter": (b"chunked;q=1", chunk(BODY) + b"0\r\n\r\n"),
    "longer name": (b"xchunked", chunk(BODY) + b"0\r\n\r\n"),
    "with a length": (b"chunked\r\nContent-Length: 22", chunk(BODY) + b"0\r\n\r\n"),
}
CHUNKS = {
    "no size": b"\r\n" + BODY + b"\r\n0\r\n\r\n",
    "size of letters": b"xyz\r\n" + BODY + b"\r\n0\r\n\r\n",
    "negative size": b"-16\r\n" + BODY + b"\r\n0\r\n\r\n",
    "size with a prefix": b"0x16\r\n" + BODY + b"\r\n0\r\n\r\n",
    "size of 5,000 digits": b"f" * 5000 + b"\r\n" + BODY + b"\r\n0\r\n\r\n",
    "size too large": b"fffffffffffffffff\r\n" + BODY + b"\r\n0\r\n\r\n",
    "blank before the size": b" 16\r\n" + BODY + b"\r\n0\r\n\r\n",
    "blank after the size": b"16 \r\n" + BODY + b"\r\n0\r\n\r\n",
    "two sizes": b"16 16\r\n" + BODY + b"\r\n0\r\n\r\n",
    "LF after the size": b"16\n" + BODY + b"\r\n0\r\n\r\n",
    "CR after the size": b"16\r" + BODY + b"\r\n0\r\n\r\n",
    "LF after the data": b"16\r\n" + BODY + b"\n0\r\n\r\n",
    "nothing after the data": b"16\r\n" + BODY + b"0\r\n\r\n",
    "longer than its size": b"15\r\n" + BODY + b"\r\n0\r\n\r\n",
    "shorter than its size": b"17\r\n" + BODY + b"\r\n0\r\n\r\n",
    "empty extension": b"16;\r\n" + BODY + b"\r\n0\r\n\r\n",
    "control byte in an extension": b"16;a=\x01\r\n" + BODY + b"\r\n0\r\n\r\n",
    "open quote in an extension": b'16;a="b\r\n' + BODY + b"\r\n0\r\n\r\n",
    "no last chunk": chunk(BODY),
    "no end after the last chunk": chunk(BODY) + b"0\r\n",
    "malformed trailer": chunk(BODY) + b"0\r\nX Other: a\r\n\r\n",
    "trailer with a control byte": chunk(BODY) + b"0\r\nX-Other: a\x01\r\n\r\n",
    "trailer that begins with a blank": chunk(BODY) + b"0\r\n X-Other: a\r\n\r\n",
}
BROKEN = (
    {name: answer(line) for name, line in STATUS_LINES.items()}
    | PROTOCOL_SWITCHES
    | {name: answer(OK, line) for name, line in FIELD_LINES.items()}
    | HEADS
    | {f"length: {name}": answer(length=line) for name, line in LENGTHS.items()}
    | {
        f"coding: {name}": answer(body=body, length=b"Transfer-Encoding: %s\r\n" % coding)
        for name, (coding, body) in CODINGS.items()
    }
    | {
        "chunks in HTTP/1.0": chunked(
            chunk(BODY) + b"0\r\n\r\n", status_line=b"HTTP/1.0 200 OK\r\n"
        )
    }
    | {f"chunks: {name}": chunked(body) for name, body in CHUNKS.items()}
    | {"503 that is broken": answer(b"HTTP/1.1 503 Full\r\n", b"X-Not-Executed: 1\r\nA B: c\r\n")}
)
WHOLE_HEAD = answer(OK, b"Content-Type: text/plain\r\n", body=b"")
# The beginnings of a head at which an engine may stop, by their length: the ends of lines, the
# bytes around them, and places within names and values.
STOPPED = {
    f"{size} bytes": WHOLE_HEAD[:size]
    for end in range(len(WHOLE_HEAD))
    if WHOLE_HEAD[end : end + 2] == b"\r\n"
    for size in (end - 3, end, end + 1, end + 2)
    if size < len(WHOLE_HEAD)
}
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
ODD = {
    "plain": answer(),
    "no reason": answer(b"HTTP/1.1 200 \r\n"),
    "no reason and no blank": answer(b"HTTP/1.1 200\r\n"),
    "odd reason": answer(b"HTTP/1.1 200 \xc3\xa9 \t(fine)\r\n"),
    "another success": answer(b"HTTP/1.1 299 Odd\r\n"),
    "lines that end with LF": answer().replace(b"\r\n", b"\n"),
    "interim answers": INTERIM + answer(),
    "HTTP/1.0": answer(b"HTTP/1.0 200 OK\r\n"),
    "HTTP/1.0 without length": answer(b"HTTP/1.0 200 OK\r\n", length=b""),
    "no length": answer(length=b""),
    "zeros before the length": answer(length=b"Content-Length: 000022\r\n"),
    "5,000 zeros before the length": answer(length=b"Content-Length: " + b"0" * 5000 + b"22\r\n"),
    "blanks around the length": answer(length=b"Content-Length:\t 22 \t\r\n"),
    "chunks": chunked(chunk(BODY[:5]) + chunk(BODY[5:]) + b"0\r\n\r\n"),
    "chunks in capitals": answer(
        body=b"000016\r\n" + BODY + b"\r\n000\r\n\r\n", length=b"TRANSFER-ENCODING: Chunked\r\n"
    ),
    "empty codings": answer(
        body=chunk(BODY) + b"0\r\n\r\n", length=b"Transfer-Encoding: , chunked\r\n"
    ),
    "chunk extensions": chunked(chunk(BODY, b';a;b=c;d="e\\" f"') + b"0;z=1\r\n\r\n"),
    "trailers": chunked(chunk(BODY) + b"0\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n", b"Trailer: X-Sum\r\n"),
    "empty value": answer(OK, b"X-Other:\r\n"),
    "no blank after the colon": answer(OK, b"X-Other:a\r\n"),
    "bytes above 127 in a value": answer(OK, b"X-Other: \xff\xe9\xc3\xa9\r\n"),
    "tab in a value": answer(OK, b"X-Other: a\tb\r\n"),
    "odd name": answer(OK, b"X!#$%&'*+-.^_`|~9: a\r\n"),
    "line that is folded": answer(OK, b"X-Other: a\r\n  b\r\n"),
    "offer of another protocol": answer(OK, b"Upgrade: h2c\r\nConnection: Upgrade\r\n"),
    "offer without length": answer(OK, b"Upgrade: h2c\r\nConnection: Upgrade\r\n", length=b""),
    "bytes after the answer": answer() + b"HTTP/1.1 999 more\r\n\r\n",
}

SSE = b"Content-Type: text/event-stream\r\n"
STREAM = b"".join(EVENTS)
ODD_STREAMS = {
    "chunks": chunked(b"".join(map(chunk, EVENTS)) + b"0\r\n\r\n", SSE),
    "events in one chunk": chunked(chunk(STREAM) + b"0\r\n\r\n", SSE),
    "events across chunks": chunked(chunk(STREAM[:30]) + chunk(STREAM[30:]) + b"0\r\n\r\n", SSE),
    "extensions and trailers": chunked(
        b"".join(chunk(event, b";a=b") for event in EVENTS) + b"00;c\r\nX-Sum: 1\r\n\r\n", SSE
    ),
    "length": answer(OK, SSE, body=STREAM, length=b"Content-Length: %d\r\n" % len(STREAM)),
    "no length": answer(OK, SSE, body=STREAM, length=b""),
    "HTTP/1.0": answer(b"HTTP/1.0 200 OK\r\n", SSE, body=STREAM, length=b""),
    "interim answers": INTERIM + chunked(b"".join(map(chunk, EVENTS)) + b"0\r\n\r\n", SSE),
}
# As long as the body, whose place it takes in chunks.
LAST_EVENT = b"id: 4\ndata: the last\n\n"
BROKEN_STREAMS = {
    name: chunked(b"".join(map(chunk, EVENTS)) + body.replace(BODY, LAST_EVENT), SSE)
    for name, body in CHUNKS.items()
}


def ending_of(answer):
    """Return how a connection goes on after an answer: open, unless that is what ends it."""
    head = answer.lower()
    is_delimited = b"content-length:" in head or b"transfer-encoding:" in head
    return Ending.OPEN if is_delimited else Ending.CLOSE
