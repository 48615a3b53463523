"""The scanner finds the same end and the same faults wherever the bytes are split into reads.

Guards against an answer that is judged by how it arrives, and against lines that take far more time
than others of their length.
"""

import time

import pytest

from marjoramspool.answer_grammar import MAX_LINE_BYTES, MalformedAnswerError
from marjoramspool.answer_scanner import AnswerScanner
from standins.answer_forms import BROKEN, ODD, ODD_STREAMS, OK, STOPPED, answer

LEGAL = ODD | {f"stream: {name}": odd for name, odd in ODD_STREAMS.items()}
READS = [1, 2, 3, 7, 1 << 16]
SURPLUS = b"HTTP/1.1 200 OK\r\n\r\n"
SCAN_S = 1.0
LONG = MAX_LINE_BYTES - 100
# Lines that are malformed at their end only.
LONG_LINES = {
    "blanks": b"X-Other: " + b" " * LONG + b"\x01\r\n",
    "blanks and tabs": b"X-Other:" + b"\t " * (LONG // 2) + b"\x01\r\n",
    "folded blanks": b"X-Other: a\r\n " + b" " * LONG + b"\x01\r\n",
    "name": b"x" * LONG + b"\x01: a\r\n",
}
LONG_SIZES = {
    "extensions": b"5" + b";a=b" * (LONG // 4) + b";\r\n",
    "blanks": b"5" + b" " * LONG + b"\r\n",
    "blanks after an extension": b"5;a" + b" " * LONG + b"\r\n",
    "quotes": b'5;a="' + b'\\"' * (LONG // 2) + b"\r\n",
    "digits": b"0" * LONG + b"g\r\n",
}


def scan(scanner, data, read_bytes):
    """Feed bytes in reads; return how many belong to the answer."""
    taken = 0
    for start in range(0, len(data), read_bytes):
        read = data[start : start + read_bytes]
        size = scanner.feed(read)
        taken += size
        if size < len(read):
            break
    return taken


@pytest.mark.parametrize("read_bytes", READS)
@pytest.mark.parametrize("odd", LEGAL.values(), ids=LEGAL.keys())
def test_a_legal_answer_ends_at_the_same_byte(odd, read_bytes):
    whole = AnswerScanner()
    size = scan(whole, odd, len(odd))
    scanner = AnswerScanner()
    assert scan(scanner, odd, read_bytes) == size
    assert scanner.is_complete == whole.is_complete
    assert scanner.is_complete != scanner.ends_with_connection
    if scanner.is_complete:
        assert scan(AnswerScanner(), odd[:size] + SURPLUS, read_bytes) == size


@pytest.mark.parametrize("read_bytes", READS)
@pytest.mark.parametrize("broken", BROKEN.values(), ids=BROKEN.keys())
def test_a_broken_answer_is_never_complete(broken, read_bytes):
    scanner = AnswerScanner()
    try:
        scan(scanner, broken, read_bytes)
    except MalformedAnswerError:
        return
    assert not scanner.is_complete
    assert not scanner.ends_with_connection


@pytest.mark.parametrize("beginning", STOPPED.values(), ids=STOPPED.keys())
def test_the_beginning_of_a_head_is_not_complete(beginning):
    scanner = AnswerScanner()
    assert scan(scanner, beginning, len(beginning)) == len(beginning)
    assert not scanner.is_complete
    assert not scanner.ends_with_connection


@pytest.mark.parametrize("status", [204, 304])
def test_an_answer_without_a_body_ends_with_its_head(status):
    head = answer(b"HTTP/1.1 %d X\r\n" % status, body=b"")
    assert scan(AnswerScanner(), head + b"more", 1 << 16) == len(head)


def test_the_answer_to_a_head_request_has_no_body():
    head = answer(body=b"")
    scanner = AnswerScanner(is_bodiless=True)
    assert scan(scanner, head, 1 << 16) == len(head)
    assert scanner.is_complete


def test_a_line_without_end_is_given_up():
    with pytest.raises(MalformedAnswerError):
        scan(AnswerScanner(), b"HTTP/1.1 200 " + b"x" * MAX_LINE_BYTES, 4096)


@pytest.mark.parametrize("line", LONG_LINES.values(), ids=LONG_LINES.keys())
def test_a_long_line_is_rejected_in_time(line):
    started = time.perf_counter()
    with pytest.raises(MalformedAnswerError):
        AnswerScanner().feed(OK + line)
    assert time.perf_counter() - started < SCAN_S


@pytest.mark.parametrize("size", LONG_SIZES.values(), ids=LONG_SIZES.keys())
def test_a_long_chunk_size_is_rejected_in_time(size):
    started = time.perf_counter()
    with pytest.raises(MalformedAnswerError):
        AnswerScanner().feed(OK + b"Transfer-Encoding: chunked\r\n\r\n" + size)
    assert time.perf_counter() - started < SCAN_S
