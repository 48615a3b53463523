"""Service documents in force on a router; versions only ever rise."""

import time
from dataclasses import dataclass

import msgspec
from reactivex import Subject

from marjoramspool import hashing
from marjoramspool.document import Document, InvalidFileError, read_document
from marjoramspool.events import Event, log

__all__ = ["ActiveDocument", "Change", "Configuration", "DocumentBody", "encode_body"]

KIND = "documents"
MAX_CHANGES = 50


class Change(msgspec.Struct, frozen=True):
    """Record who changed a document, when (Unix seconds), from which version, and how."""

    who: str
    when: float
    from_version: int
    summary: str


class DocumentBody(msgspec.Struct, frozen=True):
    """Hold the stored form of a document with the history of its changes."""

    text: str
    changes: list[Change] = []


@dataclass(slots=True, frozen=True)
class ActiveDocument:
    """Hold a document in force; `document` is None if the service was deleted."""

    version: int
    document: Document | None
    body: bytes
    activated_at: float


def encode_body(text: str, changes: list[Change]) -> str:
    """Return the stored form of a document."""
    return msgspec.json.encode(DocumentBody(text, changes[-MAX_CHANGES:])).decode()


class Configuration:
    """Keep the newest valid version of each service document.

    A version comes from the store or from a peer; an older one than was seen is never taken.
    """

    __slots__ = ("active", "changes", "faults", "is_complete", "seen_versions")

    def __init__(self):
        self.active: dict[str, ActiveDocument] = {}
        self.seen_versions: dict[str, int] = {}
        self.faults: dict[str, str] = {}
        self.changes: Subject = Subject()
        self.is_complete = False

    def document(self, name: str) -> Document | None:
        """Return the document in force of a service."""
        active = self.active.get(name)
        return active.document if active else None

    def documents(self) -> list[Document]:
        """Return all documents in force."""
        return [entry.document for entry in self.active.values() if entry.document]

    def apply_if_newer(self, name: str, version: int, body: bytes | None, source: str) -> bool:
        """Adopt a version if it is newer than every version seen and valid."""
        if version <= self.seen_versions.get(name, 0):
            return False
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

    def validate(self, name: str, version: int, body: bytes) -> Document | None:
        """Return a valid document; keep and log the fault of an invalid one."""
        try:
            text = msgspec.json.decode(body, type=DocumentBody).text
            document = read_document(f"{name}@{version}", text)
            if document.name != name:
                raise ValueError(f"{name}@{version}: [service] name: is {document.name!r}")
        except (InvalidFileError, msgspec.DecodeError, ValueError) as error:
            self.faults[name] = f"version {version}: {error}"
            log(Event.DOCUMENT_INVALID, service=name, version=version, fault=str(error))
            return None
        return document

    def versions(self) -> dict[str, int]:
        """Return the version in force of each service."""
        return {name: entry.version for name, entry in self.active.items()}

    def versions_newer_than(self, versions: dict[str, int]) -> dict[str, int]:
        """Return the versions in force that another router has not reached."""
        return {n: v for n, v in self.versions().items() if v > versions.get(n, 0)}

    def outdated_services(self, versions: dict[str, int]) -> list[str]:
        """Return the services of which another router has a newer version."""
        return [
            name for name, version in versions.items() if version > self.seen_versions.get(name, 0)
        ]

    def versions_digest(self) -> int:
        """Return a hash over all versions in force."""
        text = ",".join(f"{name}={version}" for name, version in sorted(self.versions().items()))
        return hashing.digest(text)
