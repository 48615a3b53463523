"""Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if it could not run."""

import asyncio
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.common2.fleet import Record

__all__ = ["run_case"]

# A case ends in less than 120 seconds.
CASE_TIMEOUT_S = 112.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def run_case(folder: Path, play: Callable[[Path, Record], Awaitable[bool]]) -> None:
    """Play a case in a temporary folder and exit; `play` returns whether the rule was broken."""
    record = Record(folder)
    code = NOT_RUN
    with tempfile.TemporaryDirectory() as scratch:
        try:
            code = BROKEN if asyncio.run(bounded(play(Path(scratch), record))) else HELD
        except Exception as error:
            traceback.print_exc()
            record.add(f"the case could not run: {error!r}")
        add_logs(Path(scratch), record)
    record.show(("the rule held", "the rule was broken", "the case could not run")[code])
    record.write()
    sys.exit(code)


async def bounded(work: Awaitable[bool]) -> bool:
    """Return the result of a case that ends in time."""
    async with asyncio.timeout(CASE_TIMEOUT_S):
        return await work


def add_logs(scratch: Path, record: Record) -> None:
    """Add how often each router logged the events that tell of faults."""
    for path in sorted(scratch.glob("*.log")):
        text = path.read_text(errors="replace")
        for event in ("TASK_FAILED", "MEMBER_DEAD", "ENGINE_ENDED", "PART_QUARANTINED"):
            if count := text.count(f'"{event}"'):
                record.add(f"log of {path.stem}: {event} {count} times")
