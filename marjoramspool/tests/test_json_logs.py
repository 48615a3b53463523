"""JSON logging bounds its rate and its buffer, reports dropped lines and never blocks the caller.

Without the bounds, a reader of the pipe that stalls or exits would block or fail the router.
"""

import os
import time

import msgspec

from marjoramspool import json_logs
from marjoramspool.events import Event, log


def read_lines(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while part := os.read(descriptor, 1 << 20):
            data += part
    except BlockingIOError:
        pass
    return [msgspec.json.decode(line) for line in data.splitlines()]


def test_lines_hold_the_event_and_its_fields():
    read_end, write_end = os.pipe()
    with json_logs.JsonLinesHandler(write_end).applicationbound():
        log(Event.REQUEST_SERVED, request="r1", status=200)
    (line,) = read_lines(read_end)
    assert line["event"] == "REQUEST_SERVED"
    assert (line["request"], line["status"], line["level"]) == ("r1", 200, "INFO")


def test_lines_above_the_rate_limit_are_dropped_and_counted(monkeypatch):
    now = [1000.2]
    monkeypatch.setattr(json_logs.time, "time", lambda: now[0])
    read_end, write_end = os.pipe()
    with json_logs.JsonLinesHandler(write_end).applicationbound():
        for number in range(json_logs.MAX_LINES_PER_S + 50):
            log(Event.REQUEST_SERVED, request=number)
        now[0] += 1.0
        log(Event.REQUEST_SERVED, request="next")
    lines = read_lines(read_end)
    assert len(lines) == json_logs.MAX_LINES_PER_S + 2
    assert lines[-2]["event"] == "LINES_DROPPED"
    assert lines[-2]["lines"] == 50


def test_stalled_reader_does_not_block_logging(monkeypatch):
    monkeypatch.setattr(json_logs, "MAX_LINES_PER_S", 10**9)
    _, write_end = os.pipe()
    handler = json_logs.JsonLinesHandler(write_end)
    start = time.monotonic()
    with handler.applicationbound():
        for number in range(20_000):
            log(Event.REQUEST_SERVED, request=number, why="x" * 50)
    assert handler.dropped > 0
    assert len(handler.buffer) < 2 * json_logs.MAX_BUFFERED_BYTES
    assert time.monotonic() - start < 10.0


def test_closed_pipe_is_ignored():
    read_end, write_end = os.pipe()
    os.close(read_end)
    with json_logs.JsonLinesHandler(write_end).applicationbound():
        for number in range(10):
            log(Event.REQUEST_SERVED, request=number)
