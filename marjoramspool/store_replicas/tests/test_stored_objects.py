"""Listings whose pages are of several revisions, against a store that changes all the while.

Guards against entries that are missing, older than the listing says, or back after their removal.
"""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from marjoramspool.store_replicas.stored_objects import ListingBuilder, ObjectChange, StoredObject

NAMES = "abcdefgh"
NULL = msgspec.Raw(b"null")
# Each step changes or removes one object, or reads the next page.
STEPS = st.lists(st.tuples(st.sampled_from(NAMES), st.sampled_from(["put", "remove", "page"])))


class ModelStore:
    """Objects by name with one revision counter and the whole history."""

    def __init__(self, bears_removal):
        self.objects = {}
        self.history = []
        self.revision = 1
        # Whether the object of a removal bears its revision, or that of the change before.
        self.bears_removal = bears_removal

    def put(self, name):
        self.revision += 1
        self.objects[name] = StoredObject(name, self.revision, NULL, NULL)
        self.history.append((self.revision, ObjectChange(self.objects[name], False)))

    def remove(self, name):
        removed = self.objects.pop(name, None)
        if removed is None:
            return
        self.revision += 1
        if self.bears_removal:
            removed = StoredObject(name, self.revision, NULL, NULL)
        self.history.append((self.revision, ObjectChange(removed, True)))

    def changes(self, since):
        return [change for revision, change in self.history if revision > since]

    def revisions(self, at):
        """Return the revision of each object as of a revision of the store."""
        found = {}
        for revision, change in self.history:
            if revision <= at and change.is_removed:
                del found[change.object.name]
            elif revision <= at:
                found[change.object.name] = revision
        return found

    def page(self, after):
        names = sorted(name for name in self.objects if name > after)[:2]
        return [self.objects[name] for name in names]


@given(before=STEPS, during=STEPS, bears_removal=st.booleans())
def test_a_listing_has_what_the_store_had_at_its_revision(before, during, bears_removal):
    store = ModelStore(bears_removal)
    builder = ListingBuilder()
    after, is_read = "", False
    for name, verb in [*before, ("", "page"), *during, *[("", "page")] * len(NAMES)]:
        if verb == "put":
            store.put(name)
        elif verb == "remove":
            store.remove(name)
        elif not is_read:
            page = store.page(after)
            builder.add_page(page, store.revision)
            is_read = not page
            after = page[-1].name if page else after
    while not builder.is_complete:
        builder.apply_changes(store.changes(builder.revision), store.revision)
    listing = builder.listing()
    assert {o.name: o.revision for o in listing.objects} == store.revisions(listing.revision)


def test_a_page_alone_is_complete():
    builder = ListingBuilder()
    assert not builder.is_complete
    builder.add_page([], 5)
    assert builder.is_complete
    assert builder.listing().revision == 5
