"""Run all measurements and write JSON and a report: make bench."""

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from bench.control_plane import measure_claims, measure_propagation
from bench.latency import measure_added, measure_relay, measure_urgent
from bench.placement import Placement, measure_placement
from bench.slopes import (
    measure_admission_slopes,
    measure_fleet_sizes,
    measure_link_kilobytes,
    measure_local_slopes,
)

__all__ = ["Measure", "main"]

PLACEMENT_RUNS = (
    ("owner", 1),
    ("hash", 1),
    ("owner", 2),
    ("hash", 2),
    ("two-choices", 1),
    ("quota", 1),
)
FLEET_SIZES = (4, 8, 16, 32)
BAR_CHARACTERS = 40


@cappa.command(name="measure", help="Measure and write a report.")
@dataclass
class Measure:
    """Command line arguments."""

    out: Annotated[str, cappa.Arg(long=True)] = "bench-results"
    seconds: Annotated[float, cappa.Arg(long=True, help="Seconds of load for each method.")] = 45.0
    only: Annotated[str, cappa.Arg(long=True, help="Run only the measurement of this name.")] = ""

    def __call__(self) -> int:
        """Run every measurement; a failed one is reported and the others still run."""
        directory = Path(self.out)
        directory.mkdir(parents=True, exist_ok=True)
        results: dict[str, object] = {}
        for name, measure in self.parts().items():
            if self.only and name != self.only:
                continue
            started = time.monotonic()
            try:
                results[name] = measure()
            except Exception as error:  # a failed measurement must not hide the others
                results[name] = f"FAILED: {error!r}"
            print(f"{name}: {time.monotonic() - started:.0f} s", flush=True)
            (directory / "results.json").write_bytes(
                msgspec.json.format(msgspec.json.encode(results), indent=1)
            )
            (directory / "report.md").write_text(report(results))
        return 0

    def parts(self) -> dict:
        """Return the measurements by name."""
        return {
            "local": measure_local_slopes,
            "link_kilobytes": lambda: asyncio.run(measure_link_kilobytes()),
            "ask": lambda: asyncio.run(measure_admission_slopes()),
            "added": lambda: asyncio.run(measure_added()),
            "relay": lambda: asyncio.run(measure_relay()),
            "urgent": lambda: asyncio.run(measure_urgent()),
            "claims": lambda: asyncio.run(measure_claims()),
            "in_force": lambda: asyncio.run(measure_propagation()),
            "sizes": lambda: asyncio.run(measure_fleet_sizes(FLEET_SIZES)),
            "placement": lambda: [
                asyncio.run(measure_placement(way, seed, self.seconds))
                for way, seed in PLACEMENT_RUNS
            ],
        }


def report(results: dict[str, object]) -> str:
    """Return the report in Markdown."""
    lines = ["# Measurements", "", time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime()), ""]
    for name, result in results.items():
        lines += [f"## {name}", ""]
        if name == "placement" and isinstance(result, list):
            lines += placement_table(result)
        else:
            text = msgspec.json.format(msgspec.json.encode(result), indent=1).decode()
            lines += ["```", text, "```"]
        lines.append("")
    return "\n".join(lines)


def placement_table(rows: list[Placement]) -> list[str]:
    """Return the table of placement methods and a bar chart of their cache reuse."""
    lines = [
        "| way | seed | reuse | skew median | 99 in 100 | less one | steady | rest B/s | load B/s "
        "| owner B/s | first token p99 ms |",
        "|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for r in rows:
        lines.append(
            f"| {r.way} | {r.seed} | {r.reuse:.3f} | {r.skew_median:.2f} | {r.skew_p99:.2f} | "
            f"{r.skew_less_one_p99:.2f} | {r.steady_less_one_p99:.2f} | {r.control_rest:.0f} | "
            f"{r.control_load:.0f} | {r.control_worst:.0f} | {r.first_token_p99_ms:.0f} |"
        )
    lines.append("")
    lines += [
        f"    {r.way:12} reuse {'#' * int(r.reuse * BAR_CHARACTERS)} {r.reuse:.2f}" for r in rows
    ]
    return lines


def main() -> None:
    """Run the measurements."""
    raise SystemExit(cappa.parse(Measure)())


if __name__ == "__main__":
    main()
