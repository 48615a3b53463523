"""The soak must be able to fail: each promise is broken on purpose and must be seen."""

from types import SimpleNamespace

import pytest

from soak.observed import Change, Observed, Sent
from soak.promises import EVENTS, check
from standins.platform_engine import Arrival, PlatformEngine

EVENTS_BODY = b"".join(b"id: %d\ndata: piece\n\n" % number for number in range(1, EVENTS + 1))


@pytest.fixture
def observed():
    engines = [PlatformEngine("i-0", "desk"), PlatformEngine("i-1", "desk")]
    observed = Observed(SimpleNamespace(engines=engines))
    observed.changes.append(Change(3, "/probe-3/", ("key",), 0.0))
    return observed


def ask(observed, name="r1", kind="order", at=100.0, status=200, body=None, **changes):
    """Record a request that was served well, but for the changes."""
    own = EVENTS_BODY if kind in ("report", "digest") else f"answer to {name}".encode()
    sent = Sent(name, kind, f"/{kind}/{name}", "key", 0, 1, at, at + 0.1, status, own, True)
    for field, value in changes.items():
        setattr(sent, field, value)
    if body is not None:
        sent.body = body
    observed.requests.append(sent)
    return sent


def arrive(observed, name="r1", engine=0, at=100.0, has_run=True, beside=0):
    """Record that a request reached an engine."""
    arrival = Arrival(name, "POST", "/", {}, b"", has_run, at=at, beside=beside)
    observed.site.engines[engine].arrivals.append(arrival)


def promises(observed):
    return {broken.promise for broken in check(observed)}


def test_nothing_is_found_where_all_is_well(observed):
    for number in range(50):
        ask(observed, f"r{number}", at=100.0 + number)
        arrive(observed, f"r{number}", at=100.0 + number)
    ask(observed, "p", "probe", path="/probe-3/p")
    assert not promises(observed)


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
def test_foreign_cut_unsigned_and_repeated_answers_are_seen(observed, changes):
    ask(observed, **changes)
    assert promises(observed) == {"whole and own answers"}


def test_a_second_run_of_an_order_is_seen(observed):
    ask(observed)
    arrive(observed)
    arrive(observed, engine=1)
    assert promises(observed) == {"at most once"}


def test_a_refusal_of_what_ran_is_seen(observed):
    ask(observed, status=503)
    arrive(observed)
    assert promises(observed) == {"not run means not run"}


def test_new_work_for_a_leaving_engine_is_seen(observed):
    observed.leavings["i-0"] = 97.0
    ask(observed)
    arrive(observed)
    assert promises(observed) == {"leaving engines"}


def test_a_request_cut_by_a_planned_stop_is_seen_but_not_one_cut_by_a_kill(observed):
    sent = ask(observed, status=None)
    sent.body = None
    arrive(observed)
    observed.disturb(0, 99.0, 7.0, "stop", is_planned=True)
    assert promises(observed) == {"planned stops"}
    observed.disturb(0, 100.0, 1.0, "kill")
    assert not promises(observed)


def test_a_state_that_is_late_in_force_is_seen(observed):
    observed.changes.append(Change(6, "/probe-6/", ("key",), 97.0))
    ask(observed, "old", "probe", path="/probe-3/old")
    ask(observed, "new", "probe", path="/probe-6/new", status=404)
    assert len(check(observed)) == 2
    assert promises(observed) == {"configuration in force"}


def test_an_older_version_after_a_newer_one_is_seen(observed):
    observed.changes.append(Change(6, "/probe-6/", ("key",), 99.5))
    ask(observed, "new", "probe", path="/probe-6/new")
    ask(observed, "old", "probe", path="/probe-3/old", at=100.6)
    assert "never reverting" in promises(observed)


def test_service_for_a_revoked_key_and_refusal_of_a_valid_one_are_seen(observed):
    ask(observed, "valid", status=401)
    assert promises(observed) == {"revoked keys"}
    observed.requests.clear()
    observed.changes.append(Change(6, "/probe-6/", ("fresh",), 94.0))
    ask(observed, "gone")
    assert promises(observed) == {"revoked keys"}


def test_too_many_repeats_are_seen(observed):
    for number in range(60):
        ask(observed, f"r{number}", "lookup")
        arrive(observed, f"r{number}", at=100.0)
        arrive(observed, f"r{number}", engine=1, at=101.0)
    assert "retry budget" not in promises(observed)
    for number in range(10):
        arrive(observed, f"r{number}", at=102.0)
    assert "retry budget" in promises(observed)


def test_an_engine_that_carries_far_more_than_the_others_is_seen(observed):
    for number in range(40):
        arrive(observed, f"a{number}", engine=1, at=100.0 + number, beside=1)
        arrive(observed, f"b{number}", engine=0, at=100.5 + number, beside=40)
    observed.site.engines.extend(PlatformEngine(f"i-{n}", "desk") for n in (2, 3))
    for number in range(40):
        arrive(observed, f"c{number}", engine=2, at=99.9 + number, beside=1)
        arrive(observed, f"d{number}", engine=3, at=99.8 + number, beside=1)
    assert "load bound" in promises(observed)


def test_a_fleet_that_does_not_recover_is_seen(observed):
    observed.calm_from = 90.0
    for number in range(10):
        ask(observed, f"r{number}", "lookup", status=502 if number < 3 else 200)
    assert promises(observed) == {"recovery"}


def test_a_router_that_ends_by_itself_is_seen(observed):
    observed.ends.append("router 0 ended by itself with 1")
    assert promises(observed) == {"routers run on"}
