"""Which prompt parts are quarantined when engines end, and which are only victims."""

import pytest

from marjoramspool.engine_state.poison_parts import (
    FIRST_QUARANTINE_S,
    MIN_STRIKES,
    SETTLE_S,
    PoisonDetector,
)

POISON, SOUND, OTHER = 1, 2, 3


class Site:
    """Detector on a clock of its own, with engines that end."""

    def __init__(self):
        self.now_s = 1000.0
        self.detector = PoisonDetector(lambda: self.now_s)
        self.incarnation = 0
        self.tail = 100

    def passes(self, seconds):
        self.now_s += seconds

    def next_parts(self, *parts):
        self.tail += 1
        return (*parts, self.tail)

    def end_engine(self, *requests, sent_before_s=0.1):
        """End one engine under some unanswered requests."""
        self.incarnation += 1
        for parts in requests:
            self.detector.record_end(self.incarnation, self.now_s - sent_before_s, parts)

    def is_quarantined(self, part):
        self.passes(SETTLE_S)
        return self.detector.find_quarantine(self.next_parts(part)) is not None


def test_a_part_under_which_engines_end_one_after_the_other_is_quarantined():
    site = Site()
    for _ in range(MIN_STRIKES):
        assert not site.is_quarantined(POISON)
        site.end_engine(site.next_parts(SOUND, POISON))
        site.detector.record_answer(site.next_parts(SOUND, OTHER))
    assert site.is_quarantined(POISON)
    assert not site.is_quarantined(SOUND)


def test_what_was_in_flight_beside_the_poison_is_not_quarantined():
    """In overload no answer to a frequent part begins between the ends."""
    site = Site()
    for _ in range(2 * MIN_STRIKES):
        site.end_engine(site.next_parts(OTHER, POISON), site.next_parts(SOUND, OTHER))
        site.passes(0.2)
    # The second kind of request is not at every end.
    site.end_engine(site.next_parts(POISON))
    assert site.is_quarantined(POISON)
    assert not site.is_quarantined(SOUND)
    assert not site.is_quarantined(OTHER)


def test_engines_that_all_end_at_once_quarantine_nothing():
    """A rack loses power while each engine prefills requests with the same part."""
    site = Site()
    for _ in range(20):
        site.end_engine(site.next_parts(SOUND))
    assert not site.is_quarantined(SOUND)


def test_engines_that_flap_quarantine_nothing_that_is_answered_between():
    site = Site()
    for _ in range(3 * MIN_STRIKES):
        site.end_engine(site.next_parts(SOUND))
        site.passes(1.0)
        site.detector.record_answer(site.next_parts(SOUND))
        site.passes(1.0)
    assert not site.is_quarantined(SOUND)


def test_an_answer_that_another_router_saw_counts():
    site = Site()
    for _ in range(MIN_STRIKES - 1):
        site.end_engine(site.next_parts(SOUND))
        site.passes(1.0)
    site.detector.record_reported_answer(SOUND)
    site.passes(1.0)
    site.end_engine(site.next_parts(SOUND))
    assert not site.is_quarantined(SOUND)


def test_one_request_that_is_sent_again_condemns_itself_and_not_its_shared_parts():
    site = Site()
    request = (SOUND, OTHER, 77)
    for _ in range(MIN_STRIKES + 1):
        site.end_engine(request)
        site.passes(1.0)
    assert site.detector.find_quarantine(request).part == 77
    assert not site.is_quarantined(SOUND)
    assert not site.is_quarantined(OTHER)


def test_the_same_end_reported_by_many_routers_counts_once():
    site = Site()
    for _ in range(3 * MIN_STRIKES):
        site.incarnation = 0
        site.end_engine(site.next_parts(SOUND))
        site.passes(0.2)
    assert not site.is_quarantined(SOUND)


def test_a_quarantine_is_lifted_by_an_answer_and_not_taken_over_again_at_once():
    site = Site()
    for _ in range(MIN_STRIKES):
        site.end_engine(site.next_parts(POISON))
        site.passes(1.0)
    assert site.is_quarantined(POISON)
    site.detector.record_answer(site.next_parts(POISON))
    assert not site.is_quarantined(POISON)
    site.detector.adopt(POISON, 0)
    assert not site.is_quarantined(POISON)
    site.passes(10.0)
    site.detector.adopt(POISON, 0)
    assert site.is_quarantined(POISON)


@pytest.mark.parametrize("probes", [0, 1, 3])
def test_each_probe_doubles_the_time_until_the_next(probes):
    site = Site()
    site.detector.adopt(POISON, probes)
    quarantine = site.detector.quarantined[POISON]
    assert quarantine.retry_after_s(site.now_s) == FIRST_QUARANTINE_S * 2**probes


def test_a_probe_passes_once():
    site = Site()
    site.detector.adopt(POISON, 0)
    site.detector.quarantined[POISON].may_probe = True
    assert not site.is_quarantined(POISON)
    assert site.is_quarantined(POISON)


def test_suspects_and_ends_are_forgotten():
    site = Site()
    site.end_engine(site.next_parts(SOUND))
    site.passes(10_000.0)
    site.end_engine(site.next_parts(POISON))
    site.passes(SETTLE_S)
    site.detector.check()
    assert len(site.detector.ends) == 1
    assert SOUND not in site.detector.suspects


def test_a_report_without_parts_is_passed_over():
    site = Site()
    for _ in range(MIN_STRIKES):
        site.end_engine(())
        site.passes(1.0)
    site.detector.check()
    assert not site.detector.quarantined


def test_a_report_of_countless_probes_costs_nothing():
    site = Site()
    site.detector.adopt(POISON, 2**32 - 1)
    assert site.detector.quarantined[POISON].retry_after_s(site.now_s) < 5000.0


def refuses(site, content):
    return site.detector.find_quarantine((content,)) is not None


def test_a_request_that_came_three_times_is_quarantined_and_its_victims_are_not():
    """Other requests were in flight at the same engines, and are repeated as well."""
    site = Site()
    for _ in range(MIN_STRIKES):
        site.end_engine((POISON,), (SOUND,))
        site.passes(0.2)
        site.detector.record_answer((OTHER,))
        site.end_engine((POISON,), (OTHER,))
        site.passes(0.2)
    site.passes(SETTLE_S)
    assert refuses(site, POISON)
    assert POISON in site.detector.quarantined
    assert not refuses(site, SOUND)
    assert not refuses(site, OTHER)


def test_after_two_ends_one_router_lets_one_request_pass_at_a_time():
    site = Site()
    site.end_engine((POISON,))
    site.passes(0.2)
    assert not refuses(site, POISON)
    site.end_engine((POISON,))
    site.detector.is_trial_router = lambda content: False
    assert refuses(site, POISON)
    site.detector.is_trial_router = lambda content: True
    assert not refuses(site, POISON)
    assert refuses(site, POISON)
    site.passes(0.2)
    site.end_engine((POISON,))
    # Nobody tries it before the others have told what they had at the engine.
    assert refuses(site, POISON)
    assert not site.detector.quarantined
    site.passes(SETTLE_S)
    assert refuses(site, POISON)
    assert site.detector.quarantined


def test_an_answer_ends_a_suspension():
    site = Site()
    for _ in range(2):
        site.end_engine((SOUND,))
        site.passes(0.2)
    site.detector.is_trial_router = lambda content: False
    assert refuses(site, SOUND)
    site.detector.record_reported_answer(SOUND)
    assert not refuses(site, SOUND)


def test_a_trial_that_comes_to_nothing_is_followed_by_another():
    site = Site()
    for _ in range(2):
        site.end_engine((SOUND,))
        site.passes(0.2)
    assert not refuses(site, SOUND)
    assert refuses(site, SOUND)
    site.passes(5.0)
    assert not refuses(site, SOUND)


def test_a_lookup_that_many_send_alike_outlives_engines_that_lose_power_together():
    """All engines of a failure domain end at once, twice; lookups were in flight at each."""
    site = Site()
    for _ in range(2):
        for _ in range(4):
            site.end_engine((SOUND,))
        site.passes(1.0)
        site.detector.record_answer((SOUND,))
        site.passes(1.0)
    assert not refuses(site, SOUND)


def test_a_lookup_that_many_send_alike_outlives_a_release():
    """Engines end one after the other, and the lookup is answered by others meanwhile."""
    site = Site()
    for _ in range(6):
        site.end_engine((SOUND,))
        site.passes(0.1)
        site.detector.record_answer((SOUND,))
        site.passes(0.9)
        assert not refuses(site, SOUND)
