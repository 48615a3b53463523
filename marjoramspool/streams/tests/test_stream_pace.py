"""Expected duration of streams, by what earlier ones of the service took."""

import pytest

from marjoramspool.streams.stream_pace import StreamPace


def test_an_event_holds_several_tokens():
    # Fault: each token counts as an event, so that streams seem several times as long as they are.
    pace = StreamPace()
    pace.record("s", output_tokens=400, events=50, duration_s=4.9)
    assert pace.expected_events("s", 400) == pytest.approx(50)
    assert pace.event_period_s("s") == pytest.approx(0.1)


def test_streams_that_say_nothing_of_their_length_change_nothing():
    pace = StreamPace()
    before = pace.event_period_s("s"), pace.expected_events("s", 10)
    pace.record("s", output_tokens=0, events=50, duration_s=5.0)
    pace.record("s", output_tokens=100, events=2, duration_s=5.0)
    pace.record("s", output_tokens=100, events=50, duration_s=0.0)
    assert (pace.event_period_s("s"), pace.expected_events("s", 10)) == before
