"""Fixtures for all tests."""

import asyncio

import pytest_asyncio

from bench.local import LocalFleet

TEST_S = 60.0


@pytest_asyncio.fixture
async def fleet():
    """Give a fleet inside this process; every test on it is bounded."""
    async with asyncio.timeout(TEST_S), LocalFleet() as local:
        yield local
