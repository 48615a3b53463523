"""Record of quarantined prompt parts in the store, which outlasts all routers.

Fault: all routers restart together and have forgotten what ends engines. The record also decides
which one router of the fleet lets a request try a part again: whoever renews it conditionally.
"""

import asyncio
import random
from collections.abc import Iterable, Iterator
from typing import Annotated

import msgspec

from marjoramspool.clock import now
from marjoramspool.engine_state.poison_parts import PoisonDetector, Quarantine
from marjoramspool.events import Event, log
from marjoramspool.platform.store import Conflict, PlatformError, Store, Written
from marjoramspool.store_replicas.stored_objects import StoredObject
from marjoramspool.untrusted_json import decode_json

__all__ = ["KIND", "QuarantineStore"]

KIND = "marjoramspool-quarantine"
# Other routers tell of quarantines sooner, so listing is only a fallback.
LIST_PERIOD_S = 60.0
LIST_PERIOD_WHILE_QUARANTINED_S = 15.0
CHECK_PERIOD_S = 0.5
# All routers quarantine a part at about the same time, and one of them is to write it.
MAX_WRITE_DELAY_S = 2.0
MAX_BACKOFF_S = 5.0
# A part is tried again only if requests with it still come.
DEMAND_S = 10.0
# Ids of parts have at most 64 bits.
MAX_PART_DIGITS = 16
MAX_PROBES = 1_000_000


class QuarantineSpec(msgspec.Struct, frozen=True):
    """Stored quarantine: how many requests have tried the part again."""

    probes: Annotated[int, msgspec.Meta(ge=0, le=MAX_PROBES)] = 0


class QuarantineStore:
    """Replica of the stored quarantines, and writer of those that this router finds."""

    __slots__ = ("detector", "is_listed", "list_at", "lifted", "revisions", "store")

    def __init__(self, store: Store, detector: PoisonDetector):
        self.store = store
        self.detector = detector
        # Whether the stored quarantines have been read since the start.
        self.is_listed = False
        self.list_at = 0.0
        # Revisions of the records that this router has seen or written.
        self.revisions: dict[int, int] = {}
        self.lifted: set[int] = set()
        detector.on_quarantined.append(self.handle_quarantine)
        detector.on_lifted.append(self.handle_lift)
        store.on_restored.append(self.handle_restored)

    def handle_quarantine(self, quarantine: Quarantine) -> None:
        """Compare with the store soon, since the record may be missing there."""
        self.lifted.discard(quarantine.part)
        if quarantine.part not in self.revisions:
            self.list_at = min(self.list_at, now() + random.uniform(0.0, MAX_WRITE_DELAY_S))

    def handle_lift(self, part: int) -> None:
        """Remove the record soon."""
        self.lifted.add(part)
        self.list_at = min(self.list_at, now() + random.uniform(0.0, MAX_WRITE_DELAY_S))

    def handle_restored(self) -> None:
        """Write the records again that the copy lacks."""
        self.revisions.clear()
        self.list_at = now()

    async def run(self) -> None:
        """Keep detector and store alike until cancelled, with backoff while the store fails."""
        backoff_s = CHECK_PERIOD_S
        while True:
            try:
                if now() >= self.list_at:
                    await self.sync()
                for quarantine in list(self.detector.quarantined.values()):
                    await self.claim_probe(quarantine)
                backoff_s = CHECK_PERIOD_S
            except PlatformError:
                self.list_at = 0.0
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            await asyncio.sleep(backoff_s * random.uniform(0.8, 1.2))

    async def sync(self) -> None:
        """List the records, take over those that are new, and write or remove the others."""
        is_used = bool(self.detector.quarantined)
        period_s = LIST_PERIOD_WHILE_QUARANTINED_S if is_used else LIST_PERIOD_S
        self.list_at = now() + period_s * random.uniform(0.8, 1.2)
        listing = await self.store.list_objects(KIND)
        listed = dict(read_records(listing.objects))
        self.is_listed = True
        for part, (revision, probes) in listed.items():
            self.revisions[part] = revision
            if part in self.lifted:
                await self.store.delete(KIND, f"{part:x}", revision)
            else:
                self.detector.adopt(part, probes)
        for part in self.revisions.keys() - listed.keys():
            # An operator removed the record, or another router, since an engine answered the part.
            del self.revisions[part]
            self.detector.record_reported_answer(part)
        self.lifted.clear()
        for quarantine in list(self.detector.quarantined.values()):
            if quarantine.part not in listed:
                await self.write(quarantine.part, quarantine.probes, 0)

    async def write(self, part: int, probes: int, revision: int) -> bool:
        """Write a record conditionally; return whether this router wrote it."""
        spec = QuarantineSpec(probes)
        match await self.store.write(KIND, f"{part:x}", spec, revision):
            case Written(stored):
                self.revisions[part] = stored.revision
                return True
            case Conflict(stored):
                for other, (revision, other_probes) in read_records([stored] if stored else []):
                    self.revisions[other] = revision
                    self.detector.adopt(other, other_probes)
        return False

    async def claim_probe(self, quarantine: Quarantine) -> None:
        """Let one request try a part again if that is due and no other router does so."""
        now_s = self.detector.clock()
        is_due = quarantine.probe_at <= now_s and now_s - quarantine.refused_at <= DEMAND_S
        revision = self.revisions.get(quarantine.part)
        if not is_due or revision is None:
            return
        probes = quarantine.probes + 1
        if await self.write(quarantine.part, probes, revision):
            self.detector.quarantine(quarantine.part, probes)
            self.detector.quarantined[quarantine.part].may_probe = True


def read_records(objects: Iterable[StoredObject]) -> Iterator[tuple[int, tuple[int, int]]]:
    """Yield the part of each readable record, with its revision and number of probes."""
    for stored in objects:
        try:
            spec = decode_json(stored.spec, QuarantineSpec)
            yield parse_part(stored.name), (stored.revision, spec.probes)
        except (msgspec.MsgspecError, ValueError) as error:
            log(Event.QUARANTINE_UNREADABLE, name=stored.name, fault=str(error))


def parse_part(name: str) -> int:
    """Return the part that a record is named after; raise ValueError if it is none.

    The id must fit the messages between routers, and the name must be the one that it is written
    under.
    """
    part = int(name, 16) if len(name) <= MAX_PART_DIGITS else -1
    if f"{part:x}" != name or part < 0:
        raise ValueError("the name is no part in hexadecimal")
    return part
