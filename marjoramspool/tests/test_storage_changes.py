"""Changes of text objects that the store tells in one answer.

Guards against a document that stays deleted on the routers although it was written again.
"""

import msgspec
import pytest

from marjoramspool.storage import Platform

KIND = "documents"


async def listen(site, version):
    """Return what one watch tells, and the value of each object in it."""
    async with Platform(f"127.0.0.1:{site.store_port}", 0.5, 1000.0) as platform:
        await platform.list_objects(KIND)
        listing = await platform.watch(KIND, version, 0.01)
    return listing, {text.name: text.value for text in listing.objects}


async def start(site):
    await site.put(KIND, "a", "first")
    async with Platform(f"127.0.0.1:{site.store_port}", 0.5, 1000.0) as platform:
        return (await platform.list_objects(KIND)).version


async def test_a_document_that_was_removed_and_written_again_is_not_removed(site):
    version = await start(site)
    await site.remove_object(KIND, "a")
    await site.put(KIND, "a", "second")
    await site.put("other", "o", 1)
    listing, values = await listen(site, version)
    assert values == {"a": "second"}
    (text,) = listing.objects
    assert version < text.version < listing.version


async def test_a_document_that_was_written_and_removed_is_removed(site):
    version = await start(site)
    await site.put(KIND, "a", "second")
    await site.remove_object(KIND, "a")
    listing, values = await listen(site, version)
    assert values == {"a": None}
    (text,) = listing.objects
    assert text.version == listing.version


@pytest.mark.parametrize("odd", [7, None, ["a"], msgspec.Raw(b"[" * 20_000 + b"]" * 20_000)])
async def test_the_documents_beside_one_that_is_no_text_are_read(site, odd):
    """Guards against routers that follow no change, or delete a service, since one is odd."""
    await site.put(KIND, "odd", odd)
    version = await start(site)
    async with Platform(f"127.0.0.1:{site.store_port}", 0.5, 1000.0) as platform:
        listing = await platform.list_objects(KIND)
    assert [text.name for text in listing.objects] == ["a"]
    assert listing.names == {"a", "odd"}
    await site.put(KIND, "odd", [odd])
    await site.put(KIND, "b", "second")
    _, values = await listen(site, version)
    assert values == {"b": "second"}
