"""Waits for other routers while this process is paused."""

import asyncio
import time

from marjoramspool.waits import wait_for_first

TIMEOUT_S = 0.2
PAUSE_S = 0.5


def set_after_hops(future, hops):
    """Set a result after some turns of the loop, as an answer passes through a library's layers."""
    if hops:
        asyncio.get_running_loop().call_soon(set_after_hops, future, hops - 1)
    else:
        future.set_result(None)


async def test_a_pause_of_this_process_is_not_a_timeout_of_the_peer():
    loop = asyncio.get_running_loop()
    answer = loop.create_future()
    loop.call_later(0.01, time.sleep, PAUSE_S)
    loop.call_later(0.02, set_after_hops, answer, 5)
    await wait_for_first([answer], TIMEOUT_S)
    assert answer.done()


async def test_a_silent_peer_times_out():
    loop = asyncio.get_running_loop()
    started = loop.time()
    await wait_for_first([loop.create_future()], TIMEOUT_S)
    assert loop.time() - started + 0.001 >= TIMEOUT_S
