"""Splitting of event streams, whatever ends their lines and wherever chunks end."""

import pytest

from marjoramspool.streams.event_stream import EventSplitter


@pytest.mark.parametrize("end", [b"\n", b"\r\n", b"\r"])
def test_events_are_split_whatever_ends_their_lines(end):
    stream = b"".join(b"id: %d%bdata: x%b%b" % (n, end, end, end) for n in range(1, 4))
    for size in (1, 2, 3, 5, len(stream)):
        splitter = EventSplitter()
        chunks = [stream[start : start + size] for start in range(0, len(stream), size)]
        events = [event for chunk in chunks for event in splitter.feed(chunk)]
        assert [event.event_id for event in events] == [1, 2, 3]
        assert b"".join(event.raw for event in events) == stream
        assert not splitter.incomplete


def test_an_unfinished_event_is_kept():
    splitter = EventSplitter()
    assert [event.event_id for event in splitter.feed(b"id: 1\r\n\r\nid: 2\r\n\r")] == [1]
    assert splitter.incomplete == b"id: 2\r\n\r"


def test_an_id_that_fits_no_message_is_none():
    """Guards against a stream that ends in an error of the program, since an id is too long."""
    splitter = EventSplitter()
    events = splitter.feed(b"id: " + b"9" * 5000 + b"\n\nid: " + b"9" * 18 + b"\n\n")
    assert [event.event_id for event in events] == [None, int("9" * 18)]


def test_a_block_of_comments_is_told_from_an_event():
    splitter = EventSplitter()
    events = splitter.feed(b": one\r\n: two\r\n\r\n: one\ndata: x\n\n")
    assert [event.is_comment for event in events] == [True, False]
