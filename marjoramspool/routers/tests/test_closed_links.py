"""Closing a link during a call ends the call without cancelling its caller.

gRPC raises CancelledError in a call whose channel is closed, as if its caller had been cancelled.
"""

import asyncio
from contextlib import asynccontextmanager, closing

from marjoramspool.ledger import Release
from marjoramspool.routers.links import Links


@asynccontextmanager
async def silent_server():
    """Accept connections and answer nothing; yield the address."""

    async def never_answer(reader, writer):
        # A writer that is left to the garbage collector closes its connection in any later test.
        with closing(writer):
            await reader.read()

    server = await asyncio.start_server(never_answer, "127.0.0.1", 0)
    async with server:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def test_a_claim_in_flight_when_its_link_is_closed_returns_none():
    async with (
        silent_server() as address,
        Links("me", 1.0, lambda router: address, None) as links,
    ):
        claim = asyncio.create_task(links.claim("other", Release("key", "attempt"), 5.0))
        await asyncio.sleep(0.2)
        links.close_link(address)
        async with asyncio.timeout(3.0):
            assert await claim is None


async def test_cancelling_the_caller_cancels_its_call():
    async with (
        silent_server() as address,
        Links("me", 1.0, lambda router: address, None) as links,
    ):
        claim = asyncio.create_task(links.claim("other", Release("key", "attempt"), 5.0))
        await asyncio.sleep(0.1)
        claim.cancel()
        await asyncio.wait([claim], timeout=2.0)
        assert claim.cancelled()
