"""Each invariant is violated on purpose, and the check must report it."""

from types import SimpleNamespace

import pytest

from soak.history import PATH_CUT, ConfigurationChange, History, Sent
from soak.invariants import STREAM_EVENTS, check
from standins.platform_engine import Arrival, PlatformEngine

EVENTS_BODY = b"".join(
    b"id: %d\ndata: piece\n\n" % number for number in range(1, STREAM_EVENTS + 1)
)


@pytest.fixture
def history():
    engines = [PlatformEngine("i-0", "desk"), PlatformEngine("i-1", "desk")]
    history = History(SimpleNamespace(engines=engines))
    history.changes.append(ConfigurationChange(3, "/probe-3/", ("key",), 0.0))
    return history


def ask(history, name="r1", kind="order", at=100.0, status=200, body=None, **changes):
    """Record a request with a correct answer, except for `changes`."""
    own = EVENTS_BODY if kind in ("report", "digest") else f"answer to {name}".encode()
    sent = Sent(name, kind, f"/{kind}/{name}", "key", 0, 1, at, at + 0.1, status, own, True)
    for field, value in changes.items():
        setattr(sent, field, value)
    if body is not None:
        sent.body = body
    history.requests.append(sent)
    return sent


def arrive(history, name="r1", engine=0, at=100.0, has_run=True, beside=0):
    """Record that a request reached an engine."""
    arrival = Arrival(name, "POST", "/", {}, b"", has_run, at=at, running_before=beside)
    history.platform.engines[engine].arrivals.append(arrival)
    return arrival


def violated(history):
    return {violation.invariant for violation in check(history)}


def test_correct_history_has_no_violations(history):
    for number in range(50):
        ask(history, f"r{number}", at=100.0 + number)
        arrive(history, f"r{number}", at=100.0 + number)
    ask(history, "p", "probe", path="/probe-3/p")
    assert not violated(history)


@pytest.mark.parametrize(
    "changes",
    [
        {"body": b"answer to r2"},
        {"body": b"answer"},
        {"is_signed": False},
        {"kind": "report", "body": EVENTS_BODY[:-30]},
        {"kind": "digest", "body": EVENTS_BODY + EVENTS_BODY[:30]},
    ],
)
def test_foreign_truncated_unsigned_and_duplicated_answers_are_violations(history, changes):
    ask(history, **changes)
    assert violated(history) == {"answer integrity"}


def test_second_run_of_an_order_is_a_violation(history):
    ask(history)
    arrive(history)
    arrive(history, engine=1)
    assert violated(history) == {"at most once"}


def test_refusal_of_a_request_that_ran_is_a_violation(history):
    ask(history, status=503)
    arrive(history)
    assert violated(history) == {"refused requests not run"}


def test_new_work_for_a_draining_engine_is_a_violation(history):
    history.drain_starts["i-0"] = 97.0
    ask(history)
    arrive(history)
    assert violated(history) == {"draining engines"}


def test_new_work_after_an_announced_departure_is_a_violation(history):
    ask(history, "first", at=97.0)
    arrive(history, "first", at=97.0).has_announced = True
    ask(history)
    arrive(history)
    assert violated(history) == {"announced departures"}
    history.record_disturbance(0, 98.0, 0.5, "kill")
    assert not violated(history)


def test_more_than_an_engine_named_as_its_limit_is_a_violation(history):
    for number in range(20):
        ask(history, f"r{number}", at=100.0 + number)
        arrive(history, f"r{number}", at=100.0 + number).limit_per_s = 1.0
    assert not violated(history)
    for number in range(20, 32):
        ask(history, f"r{number}", at=111.0)
        arrive(history, f"r{number}", at=111.0 + number / 100).limit_per_s = 1.0
    assert violated(history) == {"engine limits"}


def test_more_than_a_cold_engine_sustains_is_a_violation(history):
    for number in range(20):
        ask(history, f"r{number}", at=100.0 + number / 4)
        arrive(history, f"r{number}", at=100.0 + number / 4).is_cold = True
    assert not violated(history)
    for number in range(20, 30):
        ask(history, f"r{number}", at=104.0)
        arrive(history, f"r{number}", at=104.0 + number / 100).is_cold = True
    assert violated(history) == {"cold engines"}


def test_a_request_that_ended_three_engines_and_reaches_more_is_a_violation(history):
    history.platform.engines.append(PlatformEngine("i-2", "desk"))
    for number in range(7):
        late_s = 0.0 if number < 3 else 20.0
        name, at = f"p{number}", 100.0 + number + late_s
        ask(history, name, "poison", at=at, status=502, body=b"failed", content=b"bad")
        arrive(history, name, engine=min(number, 2), at=at).body = b"bad"
        if number == 5:
            assert not violated(history)
    assert violated(history) == {"poison requests"}


def test_work_for_an_engine_that_asked_for_a_pause_is_a_violation(history):
    ask(history, "first", at=97.0)
    arrive(history, "first", at=97.0).pause_s = 5.0
    for number in range(3):
        ask(history, f"later-{number}")
        arrive(history, f"later-{number}")
    assert violated(history) == {"pauses"}


def test_request_cut_off_by_a_planned_stop_is_a_violation_but_not_by_a_kill(history):
    sent = ask(history, status=None)
    sent.body = None
    arrive(history)
    history.record_disturbance(0, 99.0, 7.0, "stop", is_planned=True)
    assert violated(history) == {"planned stops"}
    history.record_disturbance(0, 100.0, 1.0, "kill")
    assert not violated(history)


def test_desired_state_applied_late_is_a_violation(history):
    history.changes.append(ConfigurationChange(6, "/probe-6/", ("key",), 97.0))
    ask(history, "old", "probe", path="/probe-3/old")
    ask(history, "new", "probe", path="/probe-6/new", status=404)
    assert len(check(history)) == 2
    assert violated(history) == {"configuration propagation"}


def test_older_version_after_a_newer_one_is_a_violation(history):
    history.changes.append(ConfigurationChange(6, "/probe-6/", ("key",), 99.5))
    ask(history, "new", "probe", path="/probe-6/new")
    ask(history, "old", "probe", path="/probe-3/old", at=100.6)
    assert "monotonic configuration" in violated(history)


def test_accepted_revoked_key_and_refused_valid_key_are_violations(history):
    ask(history, "valid", status=401)
    assert violated(history) == {"revoked keys"}
    history.requests.clear()
    history.changes.append(ConfigurationChange(6, "/probe-6/", ("fresh",), 94.0))
    ask(history, "gone")
    assert violated(history) == {"revoked keys"}


def test_retries_over_the_budget_are_a_violation(history):
    for number in range(60):
        ask(history, f"r{number}", "lookup")
        arrive(history, f"r{number}", at=100.0)
        arrive(history, f"r{number}", engine=1, at=101.0)
    assert "retry budget" not in violated(history)
    for number in range(10):
        arrive(history, f"r{number}", at=102.0)
    assert "retry budget" in violated(history)


def test_engine_loaded_far_above_the_others_is_a_violation(history):
    for number in range(40):
        arrive(history, f"a{number}", engine=1, at=100.0 + number, beside=1)
        arrive(history, f"b{number}", engine=0, at=100.5 + number, beside=40)
    history.platform.engines.extend(PlatformEngine(f"i-{n}", "desk") for n in (2, 3))
    for number in range(40):
        arrive(history, f"c{number}", engine=2, at=99.9 + number, beside=1)
        arrive(history, f"d{number}", engine=3, at=99.8 + number, beside=1)
    assert "load bound" in violated(history)


def test_fleet_that_does_not_recover_is_a_violation(history):
    history.recovery_start = 90.0
    for number in range(10):
        ask(history, f"r{number}", "lookup", status=502 if number < 3 else 200)
    assert violated(history) == {"recovery"}


def test_unexpected_exit_of_a_router_is_a_violation(history):
    history.unexpected_exits.append("router 0 exited unexpectedly with code 1")
    assert violated(history) == {"router liveness"}


def test_streams_joined_from_two_versions_are_reported(history):
    for number in range(3):
        first, second = f"r{number}", f"r{number}-1"
        ask(history, first, "report")
        ask(history, second, "report", first_request=first)
        for name, version in ((first, "v1"), (second, "v2")):
            arrival = arrive(history, name)
            arrival.version = version
            arrival.has_sent_events = True
    assert violated(history) == {"stream versions"}


def test_an_attempt_whose_events_never_arrived_is_no_part_of_a_stream(history):
    """Guards against a violation where an engine was slow and the next one began the stream."""
    for number in range(3):
        ask(history, f"r{number}", "report", first_event_at=100.5)
        for version, at in (("v1", 100.0), ("v3", 100.4)):
            arrival = arrive(history, f"r{number}", at=at)
            arrival.version = version
            arrival.has_sent_events = True
    assert not violated(history)


@pytest.mark.parametrize("headers", [{}, {"last-event-id": "3"}])
def test_an_attempt_after_the_first_event_goes_on_with_the_stream(history, headers):
    for number in range(3):
        ask(history, f"r{number}", "report", first_event_at=None if headers else 100.2)
        for version, at in (("v1", 100.0), ("v3", 100.4)):
            arrival = arrive(history, f"r{number}", at=at)
            arrival.version = version
            arrival.has_sent_events = True
            arrival.headers.update(headers if version == "v3" else {})
    assert violated(history) == {"stream versions"}


def test_callers_of_a_router_without_a_path_that_are_not_served_are_reported(history):
    history.record_disturbance(0, 90.0, 20.0, PATH_CUT)
    for number in range(40):
        ask(history, f"r{number}", "lookup", at=100.0, status=503 if number < 20 else 200)
    for sent in history.requests[20:]:
        sent.router = 1
    assert violated(history) == {"paths to engines"}


def test_callers_are_not_expected_to_be_served_while_no_router_has_a_path(history):
    """The second router loses its path after the first one; its callers were served before."""
    history.record_disturbance(0, 90.0, 20.0, PATH_CUT)
    history.record_disturbance(1, 96.0, 20.0, PATH_CUT)
    for number in range(20):
        ask(history, f"r{number}", "lookup", at=100.0, status=503)
        ask(history, f"s{number}", "lookup", at=95.0).router = 1
    assert not violated(history)
