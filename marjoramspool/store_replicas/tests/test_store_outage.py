"""Outages of one router, and of all, by what other routers tell meanwhile."""

import pytest

from marjoramspool.store_replicas.store_outage import StoreOutage


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


def is_shared(clock, lasts_s, news_at=()):
    """Return whether an outage counts as one of all, with news some seconds after its begin."""
    outage = StoreOutage(clock)
    began_at = clock.now
    outage.record_failure()
    for at in news_at:
        clock.now = began_at + at
        outage.record_failure()
        outage.record_news()
    clock.now = began_at + lasts_s
    return outage.end()


def test_an_outage_without_news_may_be_one_of_all(clock):
    assert is_shared(clock, 20.0)


def test_an_outage_during_which_others_are_served_is_one_of_this_router(clock):
    assert not is_shared(clock, 8.0, (0.5, 3.0, 4.5, 6.0))


@pytest.mark.parametrize("news_at", [(0.1,), (0.1, 1.0, 3.5)])
def test_news_from_before_an_outage_of_all_does_not_make_it_one_of_this_router(clock, news_at):
    """Guards against engines that are dropped although they renew what lapsed."""
    assert is_shared(clock, 6.0, news_at)


def test_news_of_the_return_does_not_make_it_an_outage_of_this_router(clock):
    """Others were answered a second before this router was."""
    assert is_shared(clock, 20.0, (18.8, 19.5))


def test_news_between_two_outages_does_not_make_the_second_one_of_this_router(clock):
    assert is_shared(clock, 20.0, (4.5, 5.0))


def test_each_outage_counts_by_its_own_news(clock):
    outage = StoreOutage(clock)
    outage.record_failure()
    clock.now += 5.0
    outage.record_news()
    clock.now += 2.0
    assert not outage.end()
    assert not outage.is_ongoing
    outage.record_failure()
    clock.now += 7.0
    assert outage.end()
