"""Client of the command line for the platform and the routers."""

import asyncio
import difflib
import time
from dataclasses import dataclass

import aiohttp
import msgspec

from marjoramspool import audit
from marjoramspool.answer_bodies import AnswerMemory, read_success
from marjoramspool.configuration import KIND, Change, DocumentBody, encode_body
from marjoramspool.document import read_document
from marjoramspool.explain import Trace
from marjoramspool.failures import MayHaveRunError
from marjoramspool.http import new_session
from marjoramspool.status import Status
from marjoramspool.storage import (
    Platform,
    PlatformError,
    StoredText,
    VersionConflict,
    WriteUncertainError,
    Written,
)
from marjoramspool.untrusted_json import decode_json

__all__ = ["ApplyResult", "ConflictError", "OperatorClient", "fetch_page", "fetch_router_status"]

PLATFORM_CALLS_PER_S = 1000.0
PLATFORM_TIMEOUT_S = 5.0
ROUTER_TIMEOUT_S = 2.0
POLL_PERIOD_S = 0.1
READ_BACK_ATTEMPTS = 5


class ConflictError(Exception):
    """Another operator changed the document first."""


@dataclass(slots=True, frozen=True)
class ApplyResult:
    """Version in which a document was stored, and the routers that have not adopted it."""

    version: int
    missing: list[str]
    waited_s: float


class OperatorClient:
    """Reader and writer of service documents, to be used as an async context manager."""

    __slots__ = ("platform",)

    def __init__(self, address: str):
        self.platform = Platform(address, PLATFORM_TIMEOUT_S, PLATFORM_CALLS_PER_S)

    async def __aenter__(self):
        await self.platform.__aenter__()
        return self

    async def __aexit__(self, *details):
        await self.platform.__aexit__(*details)

    async def get(self, service: str) -> tuple[int, DocumentBody | None]:
        """Return the stored document of a service and its version."""
        stored = await self.platform.read(KIND, service)
        return stored.version, decode_document(stored)

    async def apply(self, text: str, who: str, expect: int | None) -> int:
        """Validate and store a document; return its version.

        Raise ConflictError, which names the author of the other change, if the stored version is
        not the expected one or changes meanwhile.
        """
        name = read_document("document", text).name
        stored = await self.platform.read(KIND, name)
        previous = decode_document(stored)
        if expect is not None and stored.version != expect:
            raise ConflictError(format_conflict(name, stored.version, previous))
        changes = list(previous.changes) if previous else []
        summary = summarize_change(previous.text if previous else "", text)
        changes.append(Change(who, time.time(), stored.version, summary))
        body = encode_body(text, changes)
        try:
            written = await self.platform.write(KIND, name, body, stored.version)
        except WriteUncertainError:
            return await self.confirm_write(name, body, stored.version)
        match written:
            case Written(version):
                return version
            case VersionConflict(version):
                _, current = await self.get(name)
                raise ConflictError(format_conflict(name, version, current))

    async def confirm_write(self, name: str, body: str, previous_version: int) -> int:
        """Return the version of a write whose reply was lost.

        Raise an error if the write failed or its outcome stays unknown.
        """
        for _ in range(READ_BACK_ATTEMPTS):
            try:
                stored = await self.platform.read(KIND, name)
            except PlatformError:
                await asyncio.sleep(POLL_PERIOD_S * 5)
                continue
            if stored.value == body:
                return stored.version
            if stored.version == previous_version:
                raise PlatformError("the change was not written; apply it again")
            raise ConflictError(format_conflict(name, stored.version, decode_document(stored)))
        raise WriteUncertainError(
            f"it is not known whether the change was written; check with `marjoramspool get {name}`"
        )

    async def routers(self) -> dict[str, str]:
        """Return the address of the operators' interface of each registered router."""
        specs = await self.platform.routers()
        return {name: spec.operators for name, spec in specs.items() if spec.operators}

    async def wait_until_adopted(self, service: str, version: int, timeout_s: float) -> ApplyResult:
        """Wait until all routers have adopted a version; return which of them have not."""
        started = time.monotonic()
        routers = await self.routers()
        missing = dict(routers)
        while missing and time.monotonic() - started < timeout_s:
            replies = await asyncio.gather(*[fetch_router_status(a) for a in missing.values()])
            missing = {
                name: address
                for (name, address), status in zip(missing.items(), replies, strict=True)
                if status is None or status.versions.get(service, 0) < version
            }
            if missing:
                await asyncio.sleep(POLL_PERIOD_S)
        return ApplyResult(version, sorted(missing), time.monotonic() - started)

    async def audit_records(self) -> list[audit.Record]:
        """Return the audit records of the routers' automatic decisions, oldest first."""
        listing = await self.platform.list_objects(audit.KIND)
        records = []
        for stored in listing.objects:
            if stored.value is not None:
                records += msgspec.json.decode(stored.value, type=audit.Trail).records
        return sorted(records, key=lambda record: record.when)

    async def explain(self, request: str) -> Trace | None:
        """Return the trace of a request from the first router that has it, else None."""
        for address in (await self.routers()).values():
            body = await fetch_page(address, f"/explain/{request}")
            if body is not None:
                return msgspec.json.decode(body, type=Trace)
        return None


async def fetch_page(address: str, path: str) -> bytes | None:
    """Return a page of a router's interface, None if it does not answer or lacks the page."""
    timeout = aiohttp.ClientTimeout(total=ROUTER_TIMEOUT_S)
    try:
        async with (
            new_session(ROUTER_TIMEOUT_S) as session,
            session.get(
                f"http://{address}{path}", timeout=timeout, allow_redirects=False
            ) as response,
        ):
            return await read_success(response, AnswerMemory())
    except (aiohttp.ClientError, MayHaveRunError, OSError, TimeoutError):
        return None


async def fetch_router_status(address: str) -> Status | None:
    """Return the status of a router, None if it does not answer, or not with a status."""
    body = await fetch_page(address, "/status")
    try:
        return decode_json(body, Status) if body is not None else None
    except msgspec.DecodeError:
        return None


def decode_document(stored: StoredText) -> DocumentBody | None:
    """Decode a stored document; treat a body that is not an envelope as the document's text."""
    if stored.value is None:
        return None
    try:
        return msgspec.json.decode(stored.value, type=DocumentBody)
    except msgspec.MsgspecError:
        return DocumentBody(stored.value, [])


def format_conflict(name: str, version: int, current: DocumentBody | None) -> str:
    """Return the message that names who changed a document first."""
    who = current.changes[-1].who if current and current.changes else "somebody"
    return (
        f"{name}: {who} changed it first, to version {version}; "
        f"read it with `marjoramspool get {name}` and apply your change to that"
    )


def summarize_change(before: str, after: str) -> str:
    """Return the numbers of lines that a change adds and removes, as text."""
    lines = list(difflib.ndiff(before.splitlines(), after.splitlines()))
    return f"+{count_with_prefix(lines, '+ ')} -{count_with_prefix(lines, '- ')} lines"


def count_with_prefix(lines: list[str], prefix: str) -> int:
    """Return the number of lines that start with a prefix."""
    return sum(line.startswith(prefix) for line in lines)
