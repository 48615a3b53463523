"""Routers tell each other what targets told them of their speed."""

from dataclasses import replace

import msgspec
import pytest

from marjoramspool.engine_state.reported_speed import LoadFigures
from marjoramspool.peers.messages import (
    FleetLoads,
    RouterReport,
    SpeedReport,
    decode_datagram,
    encode,
)
from marjoramspool.peers.own_reports import incarnation_id_of
from marjoramspool.peers.report_relay import ReportRelay
from marjoramspool.peers.speed_reports import MAX_PER_RELAY_MESSAGE, SpeedQueue
from marjoramspool.peers.tests.test_load_broadcast import ENGINE, FakeClock, make_fleet, run_rounds

STEP_S = 0.1
SLOW = LoadFigures(1, 0, 2, 500)


def report(number=1, **changes):
    return RouterReport("10.0.0.9", "zone-1", 7, number, 100, 1, 1, 1, True, **changes)


def use_clock(clock, routers):
    for router in routers:
        router.selector.speeds.clock = clock


@pytest.mark.parametrize("count", [2, 7, 40, 87])
def test_a_figure_that_one_router_hears_reaches_all(count):
    """Guards against routers that send requests to a target which others know to be slow."""
    network, clock, routers = make_fleet(count)
    use_clock(clock, routers)
    run_rounds(network, clock, routers, 5, STEP_S)
    heard_at = clock.now
    routers[-1].selector.speeds.record_answer(ENGINE, SLOW)
    # A report period and the way through two relays.
    run_rounds(network, clock, routers, 3, 0.03 if count <= 12 else STEP_S)
    for router in routers:
        figure = router.selector.speeds.figures[ENGINE.service][ENGINE.key]
        assert figure.slowness == 5.0
        assert figure.heard_at == pytest.approx(heard_at, abs=0.01)


def test_a_figure_of_an_earlier_incarnation_is_not_applied():
    """Guards against slowness that a restarted target inherits by a late report."""
    network, clock, routers = make_fleet(2)
    use_clock(clock, routers)
    late = SpeedReport(incarnation_id_of(replace(ENGINE, started_ms=0)), 500, 10)
    routers[0].apply_report(report(speeds=(late,)), is_relayed=False)
    assert not routers[0].selector.speeds.is_used(ENGINE.service)


@pytest.mark.parametrize(("percent", "age_ms"), [(0, 5), (-100, 5), (500, -5)])
def test_figures_that_cannot_be_are_ignored(percent, age_ms):
    _, clock, routers = make_fleet(2)
    use_clock(clock, routers)
    wrong = SpeedReport(incarnation_id_of(ENGINE), percent, age_ms)
    routers[0].apply_report(report(speeds=(wrong,)), is_relayed=False)
    assert not routers[0].selector.speeds.is_used(ENGINE.service)


def test_changing_figures_do_not_make_a_relay_forward_every_heartbeat():
    """Guards against heartbeats of hundreds of routers that are all forwarded at once."""
    clock = FakeClock()
    relay = ReportRelay("zone-1", clock)
    assert relay.is_due(report(1))
    for number in range(2, 8):
        clock.now += STEP_S
        assert not relay.is_due(report(number, speeds=(SpeedReport(1, 100 * number, 0),)))


def test_a_relay_passes_on_the_newest_figure_of_each_target_and_its_age():
    clock = FakeClock()
    queue = SpeedQueue(clock)
    queue.add([SpeedReport(1, 500, 50), SpeedReport(2, 300, 0)])
    queue.add([SpeedReport(1, 100, 80)])
    clock.now += STEP_S
    assert queue.take() == (SpeedReport(2, 300, 100), SpeedReport(1, 500, 150))
    assert queue.take() == ()
    queue.add(SpeedReport(number, 500, 0) for number in range(1000))
    assert len(queue.take()) == MAX_PER_RELAY_MESSAGE


def test_messages_of_the_previous_revision_are_read_and_new_ones_by_it():
    """Guards against a release in which routers of two revisions do not understand each other."""
    told = report(speeds=(SpeedReport(1, 500, 0),))
    fields = msgspec.msgpack.decode(encode(told))
    without = msgspec.msgpack.encode(fields[:-1])
    assert decode_datagram(without) == report()
    # The previous revision ignores what comes after the fields that it knows.
    assert decode_datagram(msgspec.msgpack.encode([*fields, "later"])) == told
    loads = FleetLoads("10.0.0.9", 7, 1, 0, 1, (), ())
    fields = msgspec.msgpack.decode(encode(loads))
    assert decode_datagram(msgspec.msgpack.encode(fields[:-1])) == loads
