"""Fixtures for all tests."""

import asyncio

import pytest_asyncio

from bench.local import LocalFleet
from bench.platform_fleet import PlatformFleet

TEST_TIMEOUT_S = 60.0


@pytest_asyncio.fixture
async def fleet():
    """Yield a fleet in this process; the test is aborted after `TEST_TIMEOUT_S`."""
    async with asyncio.timeout(TEST_TIMEOUT_S), LocalFleet() as local:
        yield local


@pytest_asyncio.fixture
async def site():
    """Yield a fleet on the platform in this process; the test is aborted after `TEST_TIMEOUT_S`."""
    async with asyncio.timeout(TEST_TIMEOUT_S), PlatformFleet() as fleet:
        yield fleet
