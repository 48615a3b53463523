"""Decisions do not depend on the wall clock; deadlines include time while a host is suspended."""

import re
from pathlib import Path

from marjoramspool import clock
from marjoramspool.requests import RoutedRequest

ROOT = Path(clock.__file__).parent
# Modules that store Unix times in the platform through the product's own interface, or show
# them in logs and traces.
WALL_CLOCK_MODULES = {
    "json_logs.py",
    "explain.py",
    "audit.py",
    "claims.py",
    "lease.py",
    "configuration.py",
    "router.py",
}


def test_decisions_never_read_wall_clock_time():
    readers = {
        path.name
        for path in ROOT.rglob("*.py")
        if "tests" not in path.parts
        and "operators" not in path.parts
        and re.search(r"time\.time\(|datetime\.", path.read_text())
    }
    assert readers <= WALL_CLOCK_MODULES


def test_host_suspension_counts_towards_the_request_deadline():
    current = [100.0]
    request = RoutedRequest(
        "r", None, "s", None, "GET", "/", [], b"", 100.0, 103.0, clock=lambda: current[0]
    )
    assert request.remaining_s() == 3.0
    current[0] += 5.0
    assert request.remaining_s() < 0
