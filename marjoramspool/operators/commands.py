"""Command line `marjoramspool`."""

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
from marjoramspool.operators.client import ConflictError, OperatorClient, fetch_router_status
from marjoramspool.operators.log_reader import explain_request, read_lines
from marjoramspool.platform.deploy import check_deploy
from marjoramspool.platform.settings import SettingsError, read_settings
from marjoramspool.storage import PlatformError

__all__ = ["Marjoramspool", "main"]

EXIT_INCOMPLETE = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_PLATFORM_ERROR = 4
EXIT_NOT_FOUND = 5
DEFAULT_WAIT_S = 10.0

Platform = Annotated[str, cappa.Arg(long=True, help="The platform's object API, IP:PORT.")]
Json = Annotated[bool, cappa.Arg(long=True, help="Print JSON.")]


@cappa.command(help="Check a service document, a deploy file (.toml) or settings (.json).")
@dataclass
class Check:
    """Arguments of `check`."""

    file: str
    json: Json = False

    def __call__(self) -> int:
        """Check a file and print whether it is valid; raise an error that lists all faults."""
        if self.file.endswith((".toml", ".json")):
            (check_deploy if self.file.endswith(".toml") else read_settings)(self.file)
            print_result(self.json, {"file": self.file, "valid": True}, f"{self.file} is valid")
            return 0
        document = read_document(self.file, read_file(self.file))
        text = f"{self.file}: {document.name} is valid"
        print_result(self.json, {"service": document.name, "valid": True}, text)
        return 0


@cappa.command(help="Store a service document and wait until it is in force everywhere.")
@dataclass
class Apply:
    """Arguments of `apply`."""

    file: str
    platform: Platform
    expect: Annotated[
        int | None, cappa.Arg(long=True, help="Apply only if this version is stored.")
    ] = None
    who: Annotated[str, cappa.Arg(long=True, help="Your name, for the audit trail.")] = ""
    wait: Annotated[float, cappa.Arg(long=True, help="Seconds to wait for the routers.")] = (
        DEFAULT_WAIT_S
    )
    json: Json = False

    def __call__(self) -> int:
        """Run the command."""
        return asyncio.run(self.apply())

    async def apply(self) -> int:
        """Store a document and wait until the routers have adopted it."""
        text = read_file(self.file)
        name = read_document(self.file, text).name
        async with OperatorClient(self.platform) as client:
            version = await client.apply(text, self.who or getpass.getuser(), self.expect)
            result = await client.wait_until_adopted(name, version, self.wait)
        where = f"not in force at {', '.join(result.missing)}" if result.missing else "everywhere"
        line = f"{name}: version {version} accepted, {where} after {result.waited_s:.1f} s"
        print_result(
            self.json,
            {"service": name, "version": version, "missing": result.missing},
            line,
        )
        return EXIT_INCOMPLETE if result.missing else 0


@cappa.command(help="Print the stored document of a service.")
@dataclass
class Get:
    """Arguments of `get`."""

    service: str
    platform: Platform
    json: Json = False

    def __call__(self) -> int:
        """Print the stored document."""
        version, body = asyncio.run(read_stored_document(self.platform, self.service))
        if body is None:
            return report_not_found(f"{self.service}: there is no document; apply one")
        print_result(self.json, {"version": version, "text": body.text}, body.text.rstrip("\n"))
        return 0


@cappa.command(help="Show how a file differs from the stored document.")
@dataclass
class Diff:
    """Arguments of `diff`."""

    file: str
    platform: Platform

    def __call__(self) -> int:
        """Print the unified diff from the stored document to the file."""
        text = read_file(self.file)
        name = read_document(self.file, text).name
        version, body = asyncio.run(read_stored_document(self.platform, name))
        before = body.text.splitlines() if body else []
        for line in difflib.unified_diff(
            before, text.splitlines(), f"{name}@{version}", self.file, lineterm=""
        ):
            print(line)
        return 0


@cappa.command(help="Show the routers, what is in force, and the load.")
@dataclass
class Status:
    """Arguments of `status`."""

    platform: Platform
    json: Json = False

    def __call__(self) -> int:
        """Print the status of all routers."""
        return asyncio.run(self.print_statuses())

    async def print_statuses(self) -> int:
        """Fetch and print the status of every registered router."""
        async with OperatorClient(self.platform) as client:
            routers = await client.routers()
        replies = await asyncio.gather(
            *[fetch_router_status(address) for address in routers.values()]
        )
        statuses = dict(zip(routers, replies, strict=True))
        lines = [format_status(name, status) for name, status in sorted(statuses.items())]
        print_result(self.json, statuses, "\n".join(lines))
        return 0 if all(replies) else EXIT_INCOMPLETE


@cappa.command(help="Show the changes of a service, or the automatic decisions of the fleet.")
@dataclass
class Audit:
    """Arguments of `audit`."""

    platform: Platform
    service: Annotated[str | None, cappa.Arg(help="Only the changes of one service.")] = None
    json: Json = False

    def __call__(self) -> int:
        """Print the audit trail."""
        return asyncio.run(self.print_trail())

    async def print_trail(self) -> int:
        """Print the changes of one service, or the audit records of all routers."""
        async with OperatorClient(self.platform) as client:
            if self.service is None:
                records = await client.audit_records()
                lines = [f"{format_time(r.when)} {r.router} {r.what} {r.details}" for r in records]
                print_result(self.json, records, "\n".join(lines))
                return 0
            _, body = await client.get(self.service)
        if body is None:
            return report_not_found(f"{self.service}: there is no document; apply one")
        lines = [
            f"{format_time(c.when)} {c.who} from version {c.from_version}: {c.summary}"
            for c in body.changes
        ]
        print_result(self.json, body.changes, "\n".join(lines))
        return 0


@cappa.command(help="Explain a recent request.")
@dataclass
class Explain:
    """Arguments of `explain`."""

    request: str
    platform: Annotated[str, cappa.Arg(long=True, help="The platform's store, IP:PORT.")] = ""
    logs: Annotated[
        list[str], cappa.Arg(long=True, num_args=-1, help="Log files of routers to merge.")
    ] = field(default_factory=list)
    json: Json = False

    def __call__(self) -> int:
        """Print the trace of a request."""
        if self.logs:
            return self.explain_logs()
        if not self.platform:
            print("explain: pass --logs FILE... or --platform IP:PORT", file=sys.stderr)
            return EXIT_INVALID
        return asyncio.run(self.explain())

    def explain_logs(self) -> int:
        """Merge the lines of several log files; print those of the request and the cause."""
        texts = (line for path in self.logs for line in read_file(path).splitlines())
        explanation = explain_request(self.request, read_lines(texts))
        if explanation is None:
            return report_not_found(
                f"{self.request}: no log line has this request ID; pass the logs of all routers"
            )
        lines = [f"  {line.format()}" for line in explanation.lines]
        if explanation.context:
            lines += ["around it:", *[f"  {line.format()}" for line in explanation.context]]
        print_result(self.json, explanation, "\n".join([*lines, f"cause: {explanation.cause}"]))
        return 0

    async def explain(self) -> int:
        """Fetch the trace from the routers and print it."""
        async with OperatorClient(self.platform) as client:
            trace = await client.explain(self.request)
        if trace is None:
            remedy = "routers keep traces of recent requests only, and none across a restart"
            return report_not_found(f"{self.request}: no router has a trace of it; {remedy}")
        lines = [f"{trace.request} at {trace.router} for {trace.account}: {trace.outcome}"]
        for step in trace.steps:
            details = " ".join(f"{key}={value}" for key, value in step.details.items())
            lines.append(f"  {step.at_ms:8.1f} ms  {step.what} {details}".rstrip())
        print_result(self.json, trace, "\n".join(lines))
        return 0


@cappa.command(help="Print the stored form of an account's key, read from standard input.")
@dataclass
class HashKey:
    """Arguments of `hash-key`."""

    def __call__(self) -> int:
        """Print the hash of the key on standard input."""
        print(hash_key(sys.stdin.readline().strip()))
        return 0


@cappa.command(name="marjoramspool", help="Operate a fleet of routers.")
@dataclass
class Marjoramspool:
    """Command line with its subcommand."""

    command: cappa.Subcommands[Check | Apply | Get | Diff | Status | Audit | Explain | HashKey]


async def read_stored_document(platform: str, service: str):
    """Return the version and the stored document of a service."""
    async with OperatorClient(platform) as client:
        return await client.get(service)


def read_file(path: str) -> str:
    """Return the text of a file; print an error and exit if it cannot be read."""
    try:
        return Path(path).read_text()
    except OSError as error:
        print(f"{path}: {error.strerror}; name a readable file", file=sys.stderr)
        raise SystemExit(EXIT_INVALID) from error


def print_result(as_json: bool, data: object, text: str) -> None:
    """Print data as JSON or as text."""
    print(msgspec.json.encode(data).decode() if as_json else text)


def report_not_found(text: str) -> int:
    """Print an error and return the exit code for a missing object."""
    print(text, file=sys.stderr)
    return EXIT_NOT_FOUND


def format_time(when: float) -> str:
    """Return a Unix time as ISO 8601 text in UTC."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(when))


def format_status(name: str, status) -> str:
    """Return the line that shows the status of one router."""
    if status is None:
        return f"{name}: does not answer; check whether its host is up"
    state = "draining" if status.is_draining else "ready" if status.is_ready else "not ready"
    versions = " ".join(f"{s}={v}" for s, v in sorted(status.versions.items()))
    owned = " ".join(
        f"{cell}:{cell_status.loads}" for cell, cell_status in sorted(status.owned.items())
    )
    faults = " ".join(f"FAULT {s}: {fault}" for s, fault in status.faults.items())
    return f"{name}: {state}, {status.in_flight} in flight, {versions} {owned} {faults}".rstrip()


def main(argv: list[str] | None = None) -> None:
    """Run the command given on the command line; exit with its code."""
    try:
        arguments = cappa.parse(Marjoramspool, argv=argv)
        raise SystemExit(arguments.command())
    except (InvalidFileError, SettingsError) as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_INVALID) from error
    except ConflictError as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_CONFLICT) from error
    except PlatformError as error:
        remedy = "check whether the platform is available, and try again"
        print(f"platform error: {error}; {remedy}", file=sys.stderr)
        raise SystemExit(EXIT_PLATFORM_ERROR) from error


if __name__ == "__main__":
    main()
