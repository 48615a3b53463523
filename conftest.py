"""Fixtures for all tests."""

import asyncio

import pytest_asyncio

from bench.local import LocalFleet
from bench.platform_fleet import PlatformFleet

TEST_S = 60.0


@pytest_asyncio.fixture
async def fleet():
    """Give a fleet inside this process; every test on it is bounded."""
    async with asyncio.timeout(TEST_S), LocalFleet() as local:
        yield local


@pytest_asyncio.fixture
async def site():
    """Give a fleet on the platform inside this process; every test on it is bounded."""
    async with asyncio.timeout(TEST_S), PlatformFleet() as fleet:
        yield fleet
