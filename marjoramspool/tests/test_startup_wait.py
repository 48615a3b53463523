"""Requests that arrive before a router has its initial state.

A refusal without a wait would use up the last attempt of clients that a restart disconnected; a
wait that is too long would leave them no time for another attempt.
"""

import asyncio

from marjoramspool.startup_wait import MAX_WAIT_FRACTION, STARTUP_TIMEOUT_S, StartupWait


class FakeRouter:
    def __init__(self):
        self.now = 0.0
        self.has_state = False

    def startup_wait(self):
        return StartupWait(lambda: self.has_state, lambda: self.now)


async def test_requests_wait_for_the_first_answer_of_the_store():
    router = FakeRouter()
    waiting = [asyncio.create_task(router.startup_wait().wait(15.0)) for _ in range(20)]
    await asyncio.sleep(0.05)
    assert not any(task.done() for task in waiting)
    router.has_state = True
    await asyncio.wait_for(asyncio.gather(*waiting), 1.0)


async def test_wait_leaves_most_of_the_client_timeout_for_a_retry():
    router = FakeRouter()
    waiting = asyncio.create_task(router.startup_wait().wait(3.0))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    router.now = MAX_WAIT_FRACTION * 3.0
    await asyncio.wait_for(waiting, 1.0)


def test_no_wait_once_the_startup_timeout_has_passed():
    router = FakeRouter()
    startup_wait = router.startup_wait()
    assert startup_wait.is_pending()
    router.now = STARTUP_TIMEOUT_S
    assert not startup_wait.is_pending()
