"""Play a modelled fleet and print what came of it: python -m model.run --hosts 71 300."""

import json
import sys
from collections import Counter
from dataclasses import asdict, dataclass, field, fields
from pathlib import Path
from typing import Annotated

import cappa
from logbook import NullHandler

from model.fleet import Fleet
from model.shape import ENGINES, LONG_AND_SHORT, FleetShape

__all__ = ["Figures", "main", "play"]

HOSTS_AN_ENGINE = 2.37
REQUESTS_A_S_AN_ENGINE = 8.5
DOMAINS = 4
WARM_UP_S = 4.0
BAR = 40


@dataclass(slots=True)
class Figures:
    """Hold what one run showed; shares from 0 to 1, times in seconds, bytes a second a host."""

    hosts: int
    engines: int
    factor: float
    requests: int
    in_target: float
    late: float
    left: float
    turned_away: float
    first_median_s: float
    first_worst_in_100_s: float
    read_again_a_request: float
    found: float
    copies_a_request: float
    far_above: float
    told_mean: float
    told_most: float
    heard_mean: float
    heard_most: float


@dataclass
class Run:
    """Play modelled fleets of several sizes, each at the load that its engines bear, or more."""

    hosts: Annotated[list[int], cappa.Arg(long=True, help="How many hosts.", num_args=-1)] = field(
        default_factory=lambda: [7, 30, 71]
    )
    factor: Annotated[float, cappa.Arg(long=True, help="A multiple of the usual load.")] = 1.0
    seconds: Annotated[float, cappa.Arg(long=True, help="How long, after the start.")] = 10.0
    seed: Annotated[int, cappa.Arg(long=True, help="The seed of the requests.")] = 1
    out: Annotated[Path | None, cappa.Arg(long=True, help="Also write JSON to a file.")] = None


def play(hosts: int, factor: float, seconds: float, seed: int) -> Figures:
    """Play one fleet: some seconds at the usual load, then as long as asked at a multiple."""
    engines = max(3, round(hosts / HOSTS_AN_ENGINE))
    rate = engines * REQUESTS_A_S_AN_ENGINE
    shape = FleetShape(hosts, engines, min(DOMAINS, hosts), rate, LONG_AND_SHORT, ENGINES)
    fleet = Fleet(shape, seed)
    fleet.play(WARM_UP_S)
    fleet.start_counting()
    fleet.play(seconds, factor)
    told, heard = Counter(fleet.wire.sent), Counter(fleet.wire.received)
    fleet.settle()
    return figures(fleet, factor, seconds, told, heard)


def figures(fleet: Fleet, factor: float, seconds: float, told: Counter, heard: Counter) -> Figures:
    """Return what a played fleet showed."""
    outcomes, reading = fleet.outcomes, fleet.reading
    asked = max(1, outcomes.asked)
    first = sorted(outcomes.first_s) or [0.0]
    count = fleet.shape.routers
    return Figures(
        hosts=count,
        engines=fleet.shape.engines,
        factor=factor,
        requests=asked,
        in_target=outcomes.in_target / asked,
        late=outcomes.late / asked,
        left=outcomes.left / asked,
        turned_away=outcomes.turned_away / asked,
        first_median_s=first[len(first) // 2],
        first_worst_in_100_s=first[len(first) * 99 // 100],
        read_again_a_request=reading.again / asked,
        found=reading.found / max(1, reading.found + reading.read),
        copies_a_request=reading.copies / asked,
        far_above=outcomes.far_above / max(1, outcomes.placed),
        told_mean=told.total() / count / seconds,
        told_most=max(told.values(), default=0) / seconds,
        heard_mean=heard.total() / count / seconds,
        heard_most=max(heard.values(), default=0) / seconds,
    )


def show(results: list[Figures]) -> None:
    """Print a table of runs, and a bar for each of what grows with the fleet."""
    for name in (one.name for one in fields(Figures)):
        row = [getattr(result, name) for result in results]
        most = max(row) or 1
        print(f"{name:22}" + "".join(f"{value:12.4g}" for value in row))
        if name.startswith(("told", "heard")):
            for result, value in zip(results, row, strict=True):
                print(f"  {result.hosts:6} {'#' * round(BAR * value / most)}")


def main() -> None:
    """Play the fleets that the arguments ask for."""
    run = cappa.parse(Run)
    results = []
    with NullHandler().applicationbound():
        for hosts in run.hosts:
            results.append(play(hosts, run.factor, run.seconds, run.seed))
            print(f"played {hosts} hosts", file=sys.stderr)
    show(results)
    if run.out:
        run.out.write_text(json.dumps([asdict(result) for result in results], indent=1))


if __name__ == "__main__":
    main()
