"""Closing a link during a call ends the call without cancelling its caller.

gRPC raises CancelledError in a call whose channel is closed, as if its caller had been cancelled.
"""

import asyncio

from marjoramspool.ledger import Release
from marjoramspool.routers.links import Links


async def test_a_claim_in_flight_when_its_link_is_closed_returns_none():
    async def never_answer(reader, writer):
        await reader.read()

    server = await asyncio.start_server(never_answer, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with server, Links("me", 1.0, lambda router: address, None) as links:
        claim = asyncio.create_task(links.claim("other", Release("key", "attempt"), 5.0))
        await asyncio.sleep(0.2)
        links.close_link(address)
        async with asyncio.timeout(3.0):
            assert await claim is None


async def test_cancelling_the_caller_cancels_its_call():
    server = await asyncio.start_server(lambda r, w: r.read(), "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with server, Links("me", 1.0, lambda router: address, None) as links:
        claim = asyncio.create_task(links.claim("other", Release("key", "attempt"), 5.0))
        await asyncio.sleep(0.1)
        claim.cancel()
        await asyncio.wait([claim], timeout=2.0)
        assert claim.cancelled()
