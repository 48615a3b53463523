"""The log is bounded, says what it drops, and never blocks."""

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
    reading, writing = os.pipe()
    with json_logs.JsonLines(writing).applicationbound():
        log(Event.REQUEST_SERVED, request="r1", status=200)
    (line,) = read_lines(reading)
    assert line["event"] == "REQUEST_SERVED"
    assert (line["request"], line["status"], line["level"]) == ("r1", 200, "INFO")


def test_a_second_holds_a_bounded_number_of_lines_and_the_rest_is_counted(monkeypatch):
    moment = [1000.2]
    monkeypatch.setattr(json_logs.time, "time", lambda: moment[0])
    reading, writing = os.pipe()
    with json_logs.JsonLines(writing).applicationbound():
        for number in range(json_logs.LINES_A_SECOND + 50):
            log(Event.REQUEST_SERVED, request=number)
        moment[0] += 1.0
        log(Event.REQUEST_SERVED, request="next")
    lines = read_lines(reading)
    assert len(lines) == json_logs.LINES_A_SECOND + 2
    assert lines[-2]["event"] == "LINES_DROPPED"
    assert lines[-2]["lines"] == 50


def test_a_reader_that_does_not_read_blocks_nothing(monkeypatch):
    monkeypatch.setattr(json_logs, "LINES_A_SECOND", 10**9)
    _, writing = os.pipe()
    handler = json_logs.JsonLines(writing)
    began = time.monotonic()
    with handler.applicationbound():
        for number in range(20_000):
            log(Event.REQUEST_SERVED, request=number, why="x" * 50)
    assert handler.dropped > 0
    assert len(handler.waiting) < 2 * json_logs.BYTES_KEPT
    assert time.monotonic() - began < 10.0


def test_a_closed_reader_ends_nothing():
    reading, writing = os.pipe()
    os.close(reading)
    with json_logs.JsonLines(writing).applicationbound():
        for number in range(10):
            log(Event.REQUEST_SERVED, request=number)
