"""Changes of text objects that the store tells in one answer.

Guards against a document that stays deleted on the routers although it was written again.
"""

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
