"""Active service documents of a router, whose versions never decrease."""

import time
from dataclasses import dataclass

import msgspec
from reactivex import Subject

from marjoramspool import hashing
from marjoramspool.document import Document, InvalidFileError, read_document
from marjoramspool.events import Event, log
from marjoramspool.store_versions import epoch_of
from marjoramspool.untrusted_json import decode_json

__all__ = ["ActiveDocument", "Change", "Configuration", "DocumentBody", "encode_body"]

KIND = "documents"
MAX_CHANGES = 50


class Change(msgspec.Struct, frozen=True):
    """Change of a document: its author, Unix time in seconds, previous version and summary."""

    who: str
    when: float
    from_version: int
    summary: str


class DocumentBody(msgspec.Struct, frozen=True):
    """Stored form of a document, with the history of its changes."""

    text: str
    changes: list[Change] = []


@dataclass(slots=True, frozen=True)
class ActiveDocument:
    """Active version of a document; `document` is None if the service was deleted."""

    version: int
    document: Document | None
    body: bytes
    activated_at: float


def encode_body(text: str, changes: list[Change]) -> str:
    """Return the stored form of a document, with its most recent changes."""
    return msgspec.json.encode(DocumentBody(text, changes[-MAX_CHANGES:])).decode()


class Configuration:
    """Newest valid version of each service document.

    Versions come from the store or from other routers. One that is not newer than every version
    seen before, valid or not, is ignored.

    Fault: the store is restored from a copy that lacks the last changes. A document whose history
    is a part of the active one's is such a copy: it is not activated, and `lost` keeps its version,
    0 if the document is missing, so that the active document is written again.
    """

    __slots__ = ("active", "changes", "faults", "is_complete", "lost", "seen_versions")

    def __init__(self):
        self.active: dict[str, ActiveDocument] = {}
        self.seen_versions: dict[str, int] = {}
        self.faults: dict[str, str] = {}
        self.changes: Subject = Subject()
        self.is_complete = False
        self.lost: dict[str, int] = {}

    def document(self, name: str) -> Document | None:
        """Return the active document of a service, or None if it has none."""
        active = self.active.get(name)
        return active.document if active else None

    def documents(self) -> list[Document]:
        """Return all active documents."""
        return [entry.document for entry in self.active.values() if entry.document]

    def apply_if_newer(self, name: str, version: int, body: bytes | None, source: str) -> bool:
        """Activate a version if it is valid and the newest seen; return whether it was activated.

        A `body` of None deletes the service.
        """
        if version <= self.seen_versions.get(name, 0):
            return False
        if self.is_older_copy(name, version, body):
            self.lost[name] = version if body is not None else 0
            return False
        self.lost.pop(name, None)
        self.seen_versions[name] = version
        document = None
        if body is not None:
            document = self.validate(name, version, body)
            if document is None:
                return False
        self.faults.pop(name, None)
        self.active[name] = ActiveDocument(version, document, body or b"", time.time())
        event = Event.DOCUMENT_ADOPTED if document else Event.DOCUMENT_DELETED
        log(event, service=name, version=version, source=source)
        self.changes.on_next(name)
        return True

    def is_older_copy(self, name: str, version: int, body: bytes | None) -> bool:
        """Return whether a version of a later epoch lacks changes of the active document."""
        active = self.active.get(name)
        if active is None or active.document is None:
            return False
        if epoch_of(version) <= epoch_of(active.version):
            return False
        if body is None:
            return True
        try:
            changes = decode_json(body, DocumentBody).changes
        except msgspec.MsgspecError:
            # Whoever wrote this did so after the restoration; `validate` reports it.
            return False
        known = decode_json(active.body, DocumentBody).changes
        return len(changes) < len(known) and known[: len(changes)] == changes

    def validate(self, name: str, version: int, body: bytes) -> Document | None:
        """Return the document if it is valid, else record and log the error and return None."""
        try:
            text = decode_json(body, DocumentBody).text
            document = read_document(f"{name}@{version}", text)
            if document.name != name:
                raise ValueError(
                    f"{name}@{version}: [service] name: is {document.name!r}, expected {name!r}"
                )
        except (InvalidFileError, msgspec.DecodeError, ValueError) as error:
            self.faults[name] = f"version {version}: {error}"
            log(Event.DOCUMENT_INVALID, service=name, version=version, fault=str(error))
            return None
        return document

    def versions(self) -> dict[str, int]:
        """Return the active version of each service."""
        return {name: entry.version for name, entry in self.active.items()}

    def versions_newer_than(self, versions: dict[str, int]) -> dict[str, int]:
        """Return the active versions that are newer than those of another router."""
        return {n: v for n, v in self.versions().items() if v > versions.get(n, 0)}

    def outdated_services(self, versions: dict[str, int]) -> list[str]:
        """Return the services for which another router has a newer version."""
        return [
            name for name, version in versions.items() if version > self.seen_versions.get(name, 0)
        ]

    def versions_digest(self) -> int:
        """Return a hash of all active versions."""
        text = ",".join(f"{name}={version}" for name, version in sorted(self.versions().items()))
        return hashing.digest(text)
