"""Run one stand-in as a process: python -m standins.run KIND --port PORT."""

import asyncio
from dataclasses import dataclass
from typing import Annotated

import cappa
from aiohttp import web

from standins.engine import EngineProfile, EngineStandin
from standins.platform import PlatformStandin
from standins.service import ServiceStandin

__all__ = ["Run", "main", "serve"]


@cappa.command(name="standin", help="Run one stand-in.")
@dataclass
class Run:
    """Command line arguments."""

    kind: Annotated[str, cappa.Arg(help="platform, engine or service.")]
    port: Annotated[int, cappa.Arg(long=True)]
    slots: Annotated[int, cappa.Arg(long=True)] = 16
    decode_ms: Annotated[float, cappa.Arg(long=True)] = 1.0
    prefill_us: Annotated[float, cappa.Arg(long=True)] = 20.0
    cache_tokens: Annotated[int, cappa.Arg(long=True)] = 200_000
    writes: Annotated[float, cappa.Arg(long=True)] = 1e9
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    answer_bytes: Annotated[int, cappa.Arg(long=True)] = 0


def make_app(run: Run) -> web.Application:
    """Return the application of a kind of stand-in."""
    match run.kind:
        case "platform":
            return PlatformStandin(writes_per_s=run.writes).app()
        case "engine":
            profile = EngineProfile(
                prefill_s=run.prefill_us / 1e6,
                decode_s=run.decode_ms / 1e3,
                slots=run.slots,
                cache_tokens=run.cache_tokens,
            )
            return EngineStandin(profile, seed=run.seed).app()
        case "service":
            return ServiceStandin(padding_bytes=run.answer_bytes).app()
    raise SystemExit(f"unknown stand-in {run.kind!r}: expected platform, engine or service")


async def serve(app: web.Application, port: int) -> web.AppRunner:
    """Serve an application on loopback."""
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner


async def run_standin(run: Run) -> None:
    """Serve until the process is terminated."""
    await serve(make_app(run), run.port)
    await asyncio.get_running_loop().create_future()


def main() -> None:
    """Run the stand-in that the command line names."""
    asyncio.run(run_standin(cappa.parse(Run)))


if __name__ == "__main__":
    main()
