"""The command line: marjoramspool."""

import asyncio
import difflib
import getpass
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from marjoramspool.document import InvalidFileError, hash_key, read_document
from marjoramspool.operators.client import ConflictError, Operator, status_of
from marjoramspool.operators.log_reader import explain_request, read_lines
from marjoramspool.platform.deploy import check_deploy
from marjoramspool.platform.settings import SettingsError, read_settings
from marjoramspool.storage import PlatformError

__all__ = ["Marjoramspool", "main"]

EXIT_NOT_EVERYWHERE = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_PLATFORM = 4
EXIT_NOT_FOUND = 5
DEFAULT_WAIT_S = 10.0

Platform = Annotated[str, cappa.Arg(long=True, help="The platform's object API, IP:PORT.")]
Json = Annotated[bool, cappa.Arg(long=True, help="Print JSON.")]


@cappa.command(help="Check a service document, a deploy file (.toml) or settings (.json).")
@dataclass
class Check:
    """Hold the arguments of check."""

    file: str
    json: Json = False

    def __call__(self) -> int:
        """Check a file and print every fault."""
        if self.file.endswith((".toml", ".json")):
            (check_deploy if self.file.endswith(".toml") else read_settings)(self.file)
            show(self.json, {"file": self.file, "valid": True}, f"{self.file} is valid")
            return 0
        document = read_document(self.file, read_file(self.file))
        text = f"{self.file}: {document.name} is valid"
        show(self.json, {"service": document.name, "valid": True}, text)
        return 0


@cappa.command(help="Store a service document and wait until it is in force everywhere.")
@dataclass
class Apply:
    """Hold the arguments of apply."""

    file: str
    platform: Platform
    expect: Annotated[int | None, cappa.Arg(long=True, help="Only change this version.")] = None
    who: Annotated[str, cappa.Arg(long=True, help="Your name, for the audit trail.")] = ""
    wait: Annotated[float, cappa.Arg(long=True, help="Seconds to wait.")] = DEFAULT_WAIT_S
    json: Json = False

    def __call__(self) -> int:
        """Apply a file."""
        return asyncio.run(self.apply())

    async def apply(self) -> int:
        """Apply a file and wait for the routers."""
        text = read_file(self.file)
        name = read_document(self.file, text).name
        async with Operator(self.platform) as operator:
            version = await operator.apply(text, self.who or getpass.getuser(), self.expect)
            applied = await operator.wait_in_force(name, version, self.wait)
        where = f"not in force at {', '.join(applied.missing)}" if applied.missing else "everywhere"
        line = f"{name}: version {version} accepted, {where} after {applied.waited_s:.1f} s"
        show(
            self.json,
            {"service": name, "version": version, "missing": applied.missing},
            line,
        )
        return EXIT_NOT_EVERYWHERE if applied.missing else 0


@cappa.command(help="Print the stored document of a service.")
@dataclass
class Get:
    """Hold the arguments of get."""

    service: str
    platform: Platform
    json: Json = False

    def __call__(self) -> int:
        """Print a document."""
        version, body = asyncio.run(read_stored(self.platform, self.service))
        if body is None:
            return not_found(f"{self.service}: there is no document; apply one")
        show(self.json, {"version": version, "text": body.text}, body.text.rstrip("\n"))
        return 0


@cappa.command(help="Show how a file differs from the stored document.")
@dataclass
class Diff:
    """Hold the arguments of diff."""

    file: str
    platform: Platform

    def __call__(self) -> int:
        """Print the difference."""
        text = read_file(self.file)
        name = read_document(self.file, text).name
        version, body = asyncio.run(read_stored(self.platform, name))
        before = body.text.splitlines() if body else []
        for line in difflib.unified_diff(
            before, text.splitlines(), f"{name}@{version}", self.file, lineterm=""
        ):
            print(line)
        return 0


@cappa.command(help="Show the routers, what is in force, and the load.")
@dataclass
class Status:
    """Hold the arguments of status."""

    platform: Platform
    json: Json = False

    def __call__(self) -> int:
        """Print the status of all routers."""
        return asyncio.run(self.show_all())

    async def show_all(self) -> int:
        """Ask every router that is entered."""
        async with Operator(self.platform) as operator:
            routers = await operator.routers()
        replies = await asyncio.gather(*[status_of(address) for address in routers.values()])
        statuses = dict(zip(routers, replies, strict=True))
        lines = [status_line(name, status) for name, status in sorted(statuses.items())]
        show(self.json, statuses, "\n".join(lines))
        return 0 if all(replies) else EXIT_NOT_EVERYWHERE


@cappa.command(help="Show who changed a service, and what the fleet decided by itself.")
@dataclass
class Audit:
    """Hold the arguments of audit."""

    platform: Platform
    service: Annotated[str | None, cappa.Arg(help="Only the changes of one service.")] = None
    json: Json = False

    def __call__(self) -> int:
        """Print the audit trail."""
        return asyncio.run(self.show_trail())

    async def show_trail(self) -> int:
        """Read the trail and print it."""
        async with Operator(self.platform) as operator:
            if self.service is None:
                records = await operator.trails()
                lines = [f"{stamp(r.when)} {r.router} {r.what} {r.details}" for r in records]
                show(self.json, records, "\n".join(lines))
                return 0
            _, body = await operator.get(self.service)
        if body is None:
            return not_found(f"{self.service}: there is no document; apply one")
        lines = [
            f"{stamp(c.when)} {c.who} from version {c.from_version}: {c.summary}"
            for c in body.changes
        ]
        show(self.json, body.changes, "\n".join(lines))
        return 0


@cappa.command(help="Explain a recent request.")
@dataclass
class Explain:
    """Hold the arguments of explain."""

    request: str
    platform: Annotated[str, cappa.Arg(long=True, help="The platform's store, IP:PORT.")] = ""
    logs: Annotated[
        list[str], cappa.Arg(long=True, num_args=-1, help="Log files of routers to join.")
    ] = field(default_factory=list)
    json: Json = False

    def __call__(self) -> int:
        """Print the trace of a request."""
        if self.logs:
            return self.explain_logs()
        if not self.platform:
            print("explain: name --logs FILE... or --platform IP:PORT", file=sys.stderr)
            return EXIT_INVALID
        return asyncio.run(self.explain())

    def explain_logs(self) -> int:
        """Join the lines of log files, and print them with the cause."""
        texts = (line for path in self.logs for line in read_file(path).splitlines())
        found = explain_request(self.request, read_lines(texts))
        if found is None:
            return not_found(f"{self.request}: no line names it; give the logs of all routers")
        lines = [f"  {line.text()}" for line in found.lines]
        if found.context:
            lines += ["around it:", *[f"  {line.text()}" for line in found.context]]
        show(self.json, found, "\n".join([*lines, f"cause: {found.cause}"]))
        return 0

    async def explain(self) -> int:
        """Ask the routers for the trace."""
        async with Operator(self.platform) as operator:
            trace = await operator.explain(self.request)
        if trace is None:
            remedy = "routers keep only recent requests, and lose them when replaced"
            return not_found(f"{self.request}: no router remembers it; {remedy}")
        lines = [f"{trace.request} at {trace.router} for {trace.account}: {trace.outcome}"]
        for step in trace.steps:
            details = " ".join(f"{key}={value}" for key, value in step.details.items())
            lines.append(f"  {step.at_ms:8.1f} ms  {step.what} {details}".rstrip())
        show(self.json, trace, "\n".join(lines))
        return 0


@cappa.command(help="Print the stored form of an account's key, read from standard input.")
@dataclass
class HashKey:
    """Hold the arguments of hash-key."""

    def __call__(self) -> int:
        """Print the hash."""
        print(hash_key(sys.stdin.readline().strip()))
        return 0


@cappa.command(name="marjoramspool", help="Operate a fleet of routers.")
@dataclass
class Marjoramspool:
    """Hold the chosen command."""

    command: cappa.Subcommands[Check | Apply | Get | Diff | Status | Audit | Explain | HashKey]


async def read_stored(platform: str, service: str):
    """Return the version and the stored document of a service."""
    async with Operator(platform) as operator:
        return await operator.get(service)


def read_file(path: str) -> str:
    """Return the text of a file; exit with the remedy if it cannot be read."""
    try:
        return Path(path).read_text()
    except OSError as error:
        print(f"{path}: {error.strerror}; name a readable file", file=sys.stderr)
        raise SystemExit(EXIT_INVALID) from error


def show(as_json: bool, data: object, text: str) -> None:
    """Print data as JSON or as text."""
    print(msgspec.json.encode(data).decode() if as_json else text)


def not_found(text: str) -> int:
    """Say that there is nothing to show."""
    print(text, file=sys.stderr)
    return EXIT_NOT_FOUND


def stamp(when: float) -> str:
    """Return a Unix time as text, in UTC."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(when))


def status_line(name: str, status) -> str:
    """Return one line for one router."""
    if status is None:
        return f"{name}: does not answer; see whether its host lives"
    state = "draining" if status.is_draining else "ready" if status.is_ready else "not ready"
    versions = " ".join(f"{s}={v}" for s, v in sorted(status.versions.items()))
    owned = " ".join(f"{cell}:{state.loads}" for cell, state in sorted(status.owned.items()))
    faults = " ".join(f"FAULT {s}: {fault}" for s, fault in status.faults.items())
    return f"{name}: {state}, {status.in_flight} in flight, {versions} {owned} {faults}".rstrip()


def main(words: list[str] | None = None) -> None:
    """Run the chosen command; exit with its code."""
    try:
        arguments = cappa.parse(Marjoramspool, argv=words)
        raise SystemExit(arguments.command())
    except (InvalidFileError, SettingsError) as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_INVALID) from error
    except ConflictError as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_CONFLICT) from error
    except PlatformError as error:
        remedy = "see whether the platform is out, and try again"
        print(f"the platform did not do it: {error}; {remedy}", file=sys.stderr)
        raise SystemExit(EXIT_PLATFORM) from error


if __name__ == "__main__":
    main()
