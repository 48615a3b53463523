"""No decision moves with the time of day; deadlines count the time a host was suspended."""

import re
from pathlib import Path

from marjoramspool import clock
from marjoramspool.requests import RoutedRequest

ROOT = Path(clock.__file__).parent
# The product's own interface stores Unix times in the platform; logs and traces show them.
SHOWN_OR_STORED = {
    "json_logs.py",
    "explain.py",
    "audit.py",
    "claims.py",
    "lease.py",
    "configuration.py",
    "router.py",
}


def test_the_platforms_decisions_never_read_the_time_of_day():
    readers = {
        path.name
        for path in ROOT.rglob("*.py")
        if "tests" not in path.parts
        and "operators" not in path.parts
        and re.search(r"time\.time\(|datetime\.", path.read_text())
    }
    assert readers <= SHOWN_OR_STORED


def test_a_suspension_uses_up_the_time_of_a_request():
    moment = [100.0]
    request = RoutedRequest(
        "r", None, "s", None, "GET", "/", [], b"", 100.0, 103.0, clock=lambda: moment[0]
    )
    assert request.remaining_s() == 3.0
    moment[0] += 5.0
    assert request.remaining_s() < 0
