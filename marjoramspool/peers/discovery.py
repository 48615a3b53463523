"""Discovery of the other routers through registrations in the store."""

import asyncio
import random
from contextlib import suppress

import msgspec

from marjoramspool.addresses import is_ipv4
from marjoramspool.clock import now
from marjoramspool.engine_state.engine_list import MAX_COPY_AGE_S
from marjoramspool.engine_state.registration_checks import MAX_NAME_LENGTH
from marjoramspool.events import Event, log
from marjoramspool.peers.directory import Directory
from marjoramspool.platform.store import PlatformError, Store
from marjoramspool.store_replicas.stored_objects import StoredObject
from marjoramspool.untrusted_json import decode_json

__all__ = ["KIND", "Discovery", "RouterSpec", "read_spec"]

KIND = "marjoramspool-routers"
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
# Routers that start later send reports to those they find, so listing is only a fallback.
LIST_PERIOD_S = 20.0
REGISTRATION_SETTLE_S = 1.5
REGISTRATION_CHECK_PERIOD_S = 0.5
MAX_LINK_MBPS = 10_000_000


class RouterSpec(msgspec.Struct, frozen=True):
    """Address of a router for its peers, and for operators if it serves them."""

    address: str
    failure_domain: str
    operators: str = ""
    link_mbps: int = 0


class Discovery:
    """Registers this router in the store and adds the registered routers to the directory.

    A store that is restored from a copy may have lost a recent registration, which is then written
    again.
    """

    __slots__ = (
        "directory",
        "is_registered",
        "is_settled",
        "name",
        "operators",
        "registered_at",
        "store",
    )

    def __init__(self, store: Store, name: str, directory: Directory, operators: str = ""):
        self.operators = operators
        self.store = store
        self.name = name
        self.directory = directory
        self.is_registered = False
        self.registered_at = 0.0
        # Whether the routers that started together with this one are known.
        self.is_settled = False
        store.on_restored.append(self.handle_restored)

    def handle_restored(self) -> None:
        """Register again if the copy may be older than the registration."""
        if now() - self.registered_at <= MAX_COPY_AGE_S:
            self.is_registered = False

    async def run(self) -> None:
        """Register once, then list the routers periodically."""
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                await self.register()
                # Hosts that start together register at about the same time.
                await asyncio.sleep(REGISTRATION_SETTLE_S * random.uniform(0.8, 1.2))
                while self.is_registered:
                    listing = await self.store.list_objects(KIND, is_stale_allowed=True)
                    self.add_peers(listing.objects)
                    self.is_settled = True
                    await self.wait_while_registered(LIST_PERIOD_S * random.uniform(0.8, 1.2))
            except PlatformError:
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def wait_while_registered(self, period_s: float) -> None:
        """Wait for a period, or until the registration may be lost."""
        with suppress(TimeoutError):
            async with asyncio.timeout(period_s):
                while self.is_registered:
                    await asyncio.sleep(REGISTRATION_CHECK_PERIOD_S * random.uniform(0.5, 1.5))

    async def register(self) -> None:
        """Write the registration of this router, unless it is up to date."""
        if self.is_registered:
            return
        directory = self.directory
        spec = RouterSpec(
            directory.local_address, directory.domain, self.operators, directory.link_mbps
        )
        listing = await self.store.list_objects(KIND)
        self.add_peers(listing.objects)
        registered = next((o for o in listing.objects if o.name == self.name), None)
        # A fleet that restarts is registered from its earlier run.
        self.is_settled = self.is_settled or registered is not None
        if registered is None or read_spec(registered) != spec:
            await self.store.write(KIND, self.name, spec, registered.revision if registered else 0)
        self.is_registered = True
        self.registered_at = now()

    def add_peers(self, objects: list[StoredObject]) -> None:
        """Add the routers of a listing to the directory."""
        for stored in objects:
            spec = read_spec(stored)
            if spec and is_sound(stored.name, spec):
                self.directory.add_peer(spec.address, spec.failure_domain, spec.link_mbps)


def read_spec(stored: StoredObject) -> RouterSpec | None:
    """Return the registration in a stored object, None if it cannot be decoded."""
    try:
        return decode_json(stored.spec, RouterSpec)
    except msgspec.MsgspecError as error:
        log(Event.ROUTER_UNREADABLE, router=stored.name, fault=str(error))
        return None


def is_sound(name: str, spec: RouterSpec) -> bool:
    """Return whether reports can be sent to a registered router; log what is wrong with it."""
    if not is_ipv4(spec.address):
        fault = f"{spec.address[:MAX_NAME_LENGTH]!r} is no IPv4 address"
    elif len(spec.failure_domain) > MAX_NAME_LENGTH:
        fault = f"the failure domain is longer than {MAX_NAME_LENGTH} characters"
    elif not 0 <= spec.link_mbps <= MAX_LINK_MBPS:
        fault = f"the link is not between 0 and {MAX_LINK_MBPS} Mbit/s"
    else:
        return True
    log(Event.ROUTER_UNREADABLE, router=name, fault=fault)
    return False
