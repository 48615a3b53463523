"""Simulate fleets and print the results: python -m model.run --hosts 71 300."""

import json
import sys
from collections import Counter
from dataclasses import asdict, dataclass, field, fields
from pathlib import Path
from typing import Annotated

import cappa
from logbook import NullHandler

from model.fleet import Fleet
from model.parameters import ENGINE, REQUEST_MIX, FleetParameters

__all__ = ["RunResult", "main", "simulate"]

HOSTS_PER_ENGINE = 2.37
REQUESTS_PER_S_PER_ENGINE = 8.5
DOMAINS = 4
WARM_UP_S = 4.0
BAR_WIDTH = 40


@dataclass(slots=True)
class RunResult:
    """Results of one run: shares from 0 to 1, times in seconds, bytes per second and host."""

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
    """Simulate fleets of several sizes, at a multiple of the load that their engines can serve."""

    hosts: Annotated[
        list[int], cappa.Arg(long=True, help="Numbers of hosts, one fleet each.", num_args=-1)
    ] = field(default_factory=lambda: [7, 30, 71])
    factor: Annotated[float, cappa.Arg(long=True, help="Multiple of the usual load.")] = 1.0
    seconds: Annotated[float, cappa.Arg(long=True, help="Virtual seconds after the warm-up.")] = (
        10.0
    )
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of the random requests.")] = 1
    out: Annotated[
        Path | None, cappa.Arg(long=True, help="File to also write the results to, as JSON.")
    ] = None


def simulate(hosts: int, factor: float, seconds: float, seed: int) -> RunResult:
    """Simulate one fleet: a warm-up at the usual load, then `seconds` at `factor` times it."""
    engines = max(3, round(hosts / HOSTS_PER_ENGINE))
    rate = engines * REQUESTS_PER_S_PER_ENGINE
    parameters = FleetParameters(hosts, engines, min(DOMAINS, hosts), rate, REQUEST_MIX, ENGINE)
    fleet = Fleet(parameters, seed)
    fleet.simulate(WARM_UP_S)
    fleet.reset_counters()
    fleet.simulate(seconds, factor)
    sent_bytes, received_bytes = (
        Counter(fleet.network.sent_bytes),
        Counter(fleet.network.received_bytes),
    )
    fleet.drain()
    return summarize(fleet, factor, seconds, sent_bytes, received_bytes)


def summarize(
    fleet: Fleet, factor: float, seconds: float, sent_bytes: Counter, received_bytes: Counter
) -> RunResult:
    """Return the results of a simulated fleet."""
    outcomes, counts = fleet.outcomes, fleet.prefill_counts
    requests = max(1, outcomes.requests)
    first = sorted(outcomes.first_event_delays_s) or [0.0]
    count = fleet.parameters.routers
    return RunResult(
        hosts=count,
        engines=fleet.parameters.engines,
        factor=factor,
        requests=requests,
        in_target=outcomes.in_target / requests,
        late=outcomes.late / requests,
        left=outcomes.abandoned / requests,
        turned_away=outcomes.shed / requests,
        first_median_s=first[len(first) // 2],
        first_worst_in_100_s=first[len(first) * 99 // 100],
        read_again_a_request=counts.recomputed / requests,
        found=counts.cached / max(1, counts.cached + counts.computed),
        copies_a_request=counts.copies / requests,
        far_above=outcomes.far_above / max(1, outcomes.placed),
        told_mean=sent_bytes.total() / count / seconds,
        told_most=max(sent_bytes.values(), default=0) / seconds,
        heard_mean=received_bytes.total() / count / seconds,
        heard_most=max(received_bytes.values(), default=0) / seconds,
    )


def print_results(results: list[RunResult]) -> None:
    """Print a table of the results, with bars for the bytes sent and received."""
    for name in (column.name for column in fields(RunResult)):
        row = [getattr(result, name) for result in results]
        most = max(row) or 1
        print(f"{name:22}" + "".join(f"{value:12.4g}" for value in row))
        if name.startswith(("told", "heard")):
            for result, value in zip(results, row, strict=True):
                print(f"  {result.hosts:6} {'#' * round(BAR_WIDTH * value / most)}")


def main() -> None:
    """Simulate the fleets given on the command line."""
    run = cappa.parse(Run)
    results = []
    with NullHandler().applicationbound():
        for hosts in run.hosts:
            results.append(simulate(hosts, run.factor, run.seconds, run.seed))
            print(f"simulated {hosts} hosts", file=sys.stderr)
    print_results(results)
    if run.out:
        run.out.write_text(json.dumps([asdict(result) for result in results], indent=1))


if __name__ == "__main__":
    main()
