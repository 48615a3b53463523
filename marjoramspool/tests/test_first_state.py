"""Requests that come before a router knows anything."""

import asyncio

from marjoramspool.first_state import LONGEST_OUTAGE_S, WAIT_SHARE, FirstState


class Site:
    def __init__(self):
        self.now = 0.0
        self.is_known = False

    def first_state(self):
        return FirstState(lambda: self.is_known, lambda: self.now)


async def test_requests_wait_for_the_first_answer_of_the_store():
    site = Site()
    waiting = [asyncio.create_task(site.first_state().wait(15.0)) for _ in range(20)]
    await asyncio.sleep(0.05)
    assert not any(task.done() for task in waiting)
    site.is_known = True
    await asyncio.wait_for(asyncio.gather(*waiting), 1.0)


async def test_a_request_keeps_most_of_its_time_to_come_back():
    site = Site()
    waiting = asyncio.create_task(site.first_state().wait(3.0))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    site.now = WAIT_SHARE * 3.0
    await asyncio.wait_for(waiting, 1.0)


def test_nobody_waits_for_a_store_that_is_out_for_long():
    site = Site()
    first_state = site.first_state()
    assert first_state.is_worth_waiting()
    site.now = LONGEST_OUTAGE_S
    assert not first_state.is_worth_waiting()
