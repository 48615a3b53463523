"""Requests through other routers while the channels to them are still connecting.

Guards against a router that has just lost its path, takes all others for unreachable since its
channels to them took a moment to connect, and refuses requests that they could serve.
"""

import asyncio

import grpc
import pytest

from marjoramspool.failures import NotSentError
from marjoramspool.membership import Member, Membership, State
from marjoramspool.routers.path_messages import PathRequest
from marjoramspool.routers.path_selection import PathSelection
from marjoramspool.routers.paths import ACCEPT_TIMEOUT_S, MAX_CONNECT_TIME_S, RouterPaths

CONNECTING = grpc.ChannelConnectivity.CONNECTING
READY = grpc.ChannelConnectivity.READY


class SilentCall:
    """Call that takes no message."""

    async def write(self, data):
        await asyncio.sleep(60.0)


class Channel:
    """Channel of a given state."""

    def __init__(self, state):
        self.state = state

    def get_state(self):
        return self.state


def member(number):
    return Member(f"r{number}", f"127.0.0.1:{number}", "a", "", 1, State.ALIVE)


def message():
    fields = {"headers": (), "body_bytes": 0, "remaining_ms": 10_000, "parts": (), "chat": None}
    flags = {"is_non_idempotent": False, "is_stream": False, "is_first_turn": True}
    more = {"holders": (), "idempotency_key": None, "reaches_some": False}
    return PathRequest("q1", "s", 1, "crews", 1, "POST", "/x", **fields, **flags, **more)


async def time_out(state, age_s=0.0):
    """Let a request time out at a router on a channel; return whether the router is avoided."""
    membership = Membership(member(0))
    membership.merge(member(1))
    paths = RouterPaths(PathSelection(membership), None)
    peer = membership.members["r1"]
    paths.channels[peer.address] = Channel(state)
    paths.created_at[peer.address] = asyncio.get_running_loop().time() - age_s
    with pytest.raises(NotSentError, match=f"within {ACCEPT_TIMEOUT_S:g} s"):
        await paths.begin(SilentCall(), message(), peer)
    return paths.select("s", set()) is None


async def test_a_router_counts_as_reachable_while_the_channel_to_it_connects():
    assert not await time_out(CONNECTING)


async def test_a_router_that_is_silent_on_a_connected_channel_is_avoided():
    assert await time_out(READY)


async def test_a_router_to_which_no_channel_connects_is_avoided():
    assert await time_out(CONNECTING, MAX_CONNECT_TIME_S)
