"""Waits for other routers that do not blame them for a pause of this process."""

import asyncio
from collections.abc import Iterable

__all__ = ["wait_for_first"]

# A pause of this process counts as at most this much of a timeout.
MAX_SLICE_S = 0.05


async def wait_for_first(futures: Iterable[asyncio.Future], timeout_s: float) -> None:
    """Wait until one of the futures is done, for at most `timeout_s` in which the loop runs.

    Fault: a process that was paused or starved of its processor finds its timer due and the answer
    still on its way through the event loop. A plain timeout would then condemn a healthy peer.
    """
    futures = list(futures)
    loop = asyncio.get_running_loop()
    remaining_s = timeout_s
    while remaining_s > 0.0:
        slice_s = min(MAX_SLICE_S, remaining_s)
        started = loop.time()
        done, _ = await asyncio.wait(futures, timeout=slice_s, return_when=asyncio.FIRST_COMPLETED)
        if done:
            return
        remaining_s -= min(slice_s, loop.time() - started)
