"""Run all tests; only failures listed in KNOWN-RED.txt are tolerated, and are printed."""

import sys
from pathlib import Path

import pytest

__all__ = ["listed_tests", "main"]

# Test files run in parallel; more workers would disturb the tests that measure time.
PARALLEL_ARGUMENTS = ("-n", "3", "--dist", "loadfile", "-m", "not crowd")
# One at a time, since they measure the memory of a process.
SERIAL_ARGUMENTS = ("-m", "crowd")
KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"


def listed_tests(text: str) -> list[str]:
    """Return the listed tests, one for each line that starts with `test:`."""
    lines = [line.strip() for line in text.splitlines()]
    return [line.removeprefix("test:").strip() for line in lines if line.startswith("test:")]


def main() -> None:
    """Run the tests and exit with the status of those that are not listed."""
    known_failures = listed_tests(KNOWN_RED_PATH.read_text()) if KNOWN_RED_PATH.exists() else []
    if known_failures:
        print(
            f"KNOWN-RED: {len(known_failures)} listed tests may fail; they run first:",
            flush=True,
        )
        pytest.main(["--tb=line", *known_failures])
        print("KNOWN-RED, listed in KNOWN-RED.txt: " + ", ".join(known_failures), flush=True)
    deselected = [argument for test in known_failures for argument in ("--deselect", test)]
    codes = [
        pytest.main([*arguments, *deselected])
        for arguments in (PARALLEL_ARGUMENTS, SERIAL_ARGUMENTS)
    ]
    sys.exit(max(map(int, codes)))


if __name__ == "__main__":
    main()
