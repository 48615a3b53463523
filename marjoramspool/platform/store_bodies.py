"""Bodies of the store's answers, in which another writer's object may be unreadable."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Annotated

import msgspec

from marjoramspool.events import Event, log
from marjoramspool.store_replicas.stored_objects import ObjectChange, StoredObject
from marjoramspool.store_versions import REVISION_BITS, combine
from marjoramspool.untrusted_json import decode_json, split_array, split_object

__all__ = ["Page", "read_changes", "read_object", "read_page"]

NULL = msgspec.Raw(b"null")
Revision = Annotated[int, msgspec.Meta(ge=0, lt=1 << REVISION_BITS)]


class MetadataFields(msgspec.Struct, frozen=True):
    """Object metadata, which the store maintains."""

    name: str
    revision: Revision = 0


class ObjectFields(msgspec.Struct, frozen=True):
    """Object as the store sends it."""

    metadata: MetadataFields
    spec: msgspec.Raw = NULL
    status: msgspec.Raw = NULL


class ListFields(msgspec.Struct, frozen=True):
    """Page of a listing."""

    items: list[msgspec.Raw]
    # Revision of the store, not of an object.
    at: Revision
    more: bool = False


class EventFields(msgspec.Struct, frozen=True):
    """Change of one object as the store sends it."""

    object: msgspec.Raw
    removed: bool = False


class WatchFields(msgspec.Struct, frozen=True):
    """Result of a watch."""

    events: list[EventFields]
    at: Revision


@dataclass(slots=True, frozen=True)
class Page:
    """Readable objects of a page, the version of the store, and whether more follow."""

    objects: list[StoredObject]
    version: int
    has_more: bool


def read_page(body: bytes, epoch: int) -> Page:
    """Read a page of a listing; raise msgspec.DecodeError if it is malformed."""
    try:
        fields = decode_json(body, ListFields)
    except msgspec.DecodeError:
        members = split_object(body)
        items = [msgspec.Raw(item) for item in split_array(members.get("items", b""))]
        at = decode_json(members.get("at", b""), Revision)
        fields = ListFields(items, at, decode_json(members.get("more", b"false"), bool))
    return Page(list(read_objects(fields.items, epoch)), combine(epoch, fields.at), fields.more)


def read_changes(body: bytes, epoch: int) -> tuple[list[ObjectChange], int]:
    """Read the result of a watch, and its version; raise msgspec.DecodeError if it is malformed."""
    try:
        fields = decode_json(body, WatchFields)
    except msgspec.DecodeError:
        members = split_object(body)
        events = [read_event(event) for event in split_array(members.get("events", b""))]
        fields = WatchFields(events, decode_json(members.get("at", b""), Revision))
    changes = [
        ObjectChange(stored, event.removed)
        for event in fields.events
        for stored in read_objects([event.object], epoch)
    ]
    return changes, combine(epoch, fields.at)


def read_event(event: bytes) -> EventFields:
    """Read one change of an object that may be unreadable."""
    members = split_object(event)
    is_removed = decode_json(members.get("removed", b"false"), bool)
    return EventFields(msgspec.Raw(members.get("object", b"null")), is_removed)


def read_objects(items: Iterable[msgspec.Raw], epoch: int) -> Iterator[StoredObject]:
    """Yield the objects with readable metadata; log the others."""
    for item in items:
        try:
            yield read_object(bytes(item), epoch)
        except msgspec.DecodeError as error:
            log(Event.REGISTRATION_UNREADABLE, engine="?", fault=str(error))


def read_object(body: bytes, epoch: int) -> StoredObject:
    """Read an object of an epoch; raise msgspec.DecodeError if its metadata are unreadable.

    Whether its spec and its status are readable shows only when they are decoded.
    """
    try:
        fields = decode_json(body, ObjectFields)
    except msgspec.DecodeError:
        members = split_object(body)
        metadata = split_object(members.get("metadata", b""))
        name = decode_json(metadata.get("name", b""), str)
        revision = decode_json(metadata.get("revision", b"0"), Revision)
        raw = [msgspec.Raw(members.get(part, b"null")) for part in ("spec", "status")]
        fields = ObjectFields(MetadataFields(name, revision), *raw)
    revision = combine(epoch, fields.metadata.revision)
    return StoredObject(fields.metadata.name, revision, fields.spec, fields.status)
