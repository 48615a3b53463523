"""Objects of the store, and listings of them that hold at one revision."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

__all__ = ["Listing", "ListingBuilder", "ObjectChange", "StoredObject"]


@dataclass(slots=True, frozen=True)
class StoredObject:
    """Object in the store; `revision` is that of its last change."""

    name: str
    revision: int
    spec: msgspec.Raw
    status: msgspec.Raw


@dataclass(slots=True, frozen=True)
class Listing:
    """All objects of a kind at one revision of the store."""

    objects: list[StoredObject]
    revision: int


@dataclass(slots=True, frozen=True)
class ObjectChange:
    """Creation, update or removal of an object."""

    object: StoredObject
    is_removed: bool


class ListingBuilder:
    """Merges the pages of a listing, and the changes since its first page, into one listing.

    Fault: an object changes after its page was read and before the next one is. A listing at the
    revision of its last page lacks that change, and a watch from there never brings it.
    """

    __slots__ = ("complete_at", "objects", "revision")

    def __init__(self):
        self.objects: dict[str, StoredObject] = {}
        # Revision up to which all changes are known, None before the first page.
        self.revision: int | None = None
        # Highest revision of a page; changes up to it may be known of some objects only.
        self.complete_at = 0

    @property
    def is_complete(self) -> bool:
        """Return whether the objects are those of one revision."""
        return self.revision is not None and self.revision >= self.complete_at

    def add_page(self, objects: Iterable[StoredObject], revision: int) -> None:
        """Add a page that was read at a revision of the store."""
        self.objects.update((stored.name, stored) for stored in objects)
        self.revision = revision if self.revision is None else min(self.revision, revision)
        self.complete_at = max(self.complete_at, revision)

    def apply_changes(self, changes: Iterable[ObjectChange], revision: int) -> None:
        """Apply the changes up to a revision; those that a page shows already are left out."""
        for change in changes:
            self.apply_change(change)
        self.revision = max(self.revision, revision)

    def apply_change(self, change: ObjectChange) -> None:
        """Apply a change unless the object is known as of a later one.

        A removal may bear the revision of the change before it.
        """
        changed = change.object
        known = self.objects.get(changed.name)
        if change.is_removed:
            if known is not None and known.revision <= changed.revision:
                del self.objects[changed.name]
        elif known is None or known.revision < changed.revision:
            self.objects[changed.name] = changed

    def listing(self) -> Listing:
        """Return the listing."""
        return Listing(list(self.objects.values()), self.revision or 0)
