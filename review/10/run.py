"""Case 10: a prompt part with a long id ends engines again and again, since no router can tell.

Six routers, six model engines. A part of a prompt ends each engine that begins to write an answer
on it. Requests with that part come at all routers, no two alike. The id of the part has 32
hexadecimal digits.
"""

import asyncio
from pathlib import Path

from review.common2.fleet import Fleet, Record, is_disturbed, route
from review.common2.poisoned import PoisonedEngines
from review.common2.run_case import run_case

ROUTERS = 6
ENGINES = 6
# The part that ends engines, and one that does not.
POISON = "badbad01badbad01badbad01badbad01"
SOUND = "50f7d00150f7d00150f7d00150f7d001"
LENGTH_S = 35.0
PERIOD_S = 0.33
FIRST_EVENT_S = 0.3
# The rule counts requests that reach engines later than this after the fifth end.
COUNTED_ENDS = 5
STABLE_WINDOW_S = 3.0
MAX_REQUESTS = 3


async def play(scratch: Path, record: Record) -> bool:
    """Play the case; return whether the rule was broken."""
    async with Fleet(scratch, record, ROUTERS) as fleet:
        poisoned = PoisonedEngines(fleet, record, POISON)
        await poisoned.start(ENGINES, pieces=3, piece_interval_s=FIRST_EVENT_S)
        await fleet.configure(route("/report/", "streaming", "model"))
        await fleet.start()
        part = POISON if is_disturbed() else SOUND
        async with asyncio.TaskGroup() as group:
            for number in range(int(LENGTH_S / PERIOD_S)):
                group.create_task(send(fleet, record, part, number))
                await asyncio.sleep(PERIOD_S)
        return judge(record, poisoned)


async def send(fleet: Fleet, record: Record, part: str, number: int) -> None:
    """Send one stream with a part, and others that no other request has."""
    name = f"prompt-{number}"
    router = number % ROUTERS
    headers = {
        "X-Model": "m",
        "X-Token-Count": "1460,8",
        "X-Prompt-Prefix": f"{part}:800,{number:08x}:660",
    }
    try:
        status, _, _ = await fleet.send(router, "/report/x", name, headers, body=name.encode())
        record.add(f"client: {name} to router {router}: {status}")
    except (OSError, EOFError, TimeoutError) as error:
        record.add(f"client: {name} to router {router}: no answer, {error!r}")


def judge(record: Record, poisoned: PoisonedEngines) -> bool:
    """Return whether too many requests with the part reached engines after the fifth end."""
    arrivals = poisoned.arrivals()
    for at, name, engine in arrivals:
        record.add(f"engine: {name} reached {engine} at {at:.3f}")
    record.show(f"{len(poisoned.ends)} engines ended, {len(arrivals)} requests reached engines")
    if len(poisoned.ends) < COUNTED_ENDS:
        return False
    counted_from = poisoned.ends[COUNTED_ENDS - 1] + STABLE_WINDOW_S
    late = [arrival for arrival in arrivals if arrival[0] > counted_from]
    record.show(f"{len(late)} of these more than {STABLE_WINDOW_S:g} s after the fifth end")
    return len(late) > MAX_REQUESTS


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
