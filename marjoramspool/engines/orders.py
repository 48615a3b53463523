"""Reconciliation of the models that engines have loaded, under one lease for each service."""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec

from marjoramspool import hashing
from marjoramspool.admission.token_bucket import TokenBucket
from marjoramspool.answer_bodies import read_success
from marjoramspool.audit import AuditLog
from marjoramspool.configuration import Configuration
from marjoramspool.document import Document, Target
from marjoramspool.engines.client import EngineDispatcher
from marjoramspool.events import Event, log
from marjoramspool.failures import MayHaveRunError
from marjoramspool.lease import Lease
from marjoramspool.storage import Platform
from marjoramspool.untrusted_json import decode_json

__all__ = ["Order", "OrderReconciler"]

LEASE_DURATION_S = 10.0
RECONCILE_PERIOD_S = 3.0
MODEL_LOADS_PER_S = 2.0
MODEL_LOAD_BURST = 2.0
ORDER_TIMEOUT_S = 1.0
LEASE_CANDIDATES = 2


class Order(msgspec.Struct, frozen=True):
    """Order to an engine to load a model.

    It states the desired model and no incremental step, so that the effect of a late order is
    detected and corrected by the next reconciliation.
    """

    model: str
    fencing: int


class EngineModel(msgspec.Struct, frozen=True):
    """Model that an engine reports as loaded."""

    model: str = ""


class OrderReconciler:
    """Reconciler that orders engines to load the models that the documents specify."""

    __slots__ = (
        "audit",
        "configuration",
        "engines",
        "lease_duration_s",
        "leases",
        "load_limiter",
        "platform",
        "reconcile_period_s",
        "router",
        "routers",
    )

    def __init__(
        self,
        router: str,
        routers: Callable[[], set[str]],
        platform: Platform,
        configuration: Configuration,
        engines: EngineDispatcher,
        audit: AuditLog,
    ):
        self.router = router
        self.routers = routers
        self.platform = platform
        self.configuration = configuration
        self.engines = engines
        self.audit = audit
        self.leases: dict[str, Lease] = {}
        # Only the lease holder of a service sends orders, so its local rate limits the service.
        self.load_limiter = TokenBucket(MODEL_LOADS_PER_S, MODEL_LOAD_BURST)
        self.reconcile_period_s = RECONCILE_PERIOD_S
        self.lease_duration_s = LEASE_DURATION_S

    def held_fencing_numbers(self) -> dict[str, int]:
        """Return the fencing number of each service whose lease is held."""
        return {name: lease.version for name, lease in self.leases.items() if lease.is_held()}

    async def run_reconciliation(self) -> None:
        """Periodically reconcile every service whose targets specify a model."""
        while True:
            await asyncio.sleep(self.reconcile_period_s)
            for document in self.configuration.documents():
                if self.is_candidate(document):
                    await self.reconcile(document)

    def is_candidate(self, document: Document) -> bool:
        """Return whether this router should acquire or renew a service's lease.

        Only the first `LEASE_CANDIDATES` routers by rank, and the current holder, do so.
        """
        if not any(target.model for target in document.targets.values()):
            return False
        ranking = hashing.rank(hashing.digest(f"orders-{document.name}"), self.routers())
        return self.router in ranking[:LEASE_CANDIDATES] or self.lease(document.name).is_held()

    async def reconcile(self, document: Document) -> None:
        """Order the specified models at a service's engines if this router holds its lease."""
        lease = self.lease(document.name)
        was_held = lease.is_held()
        if not await lease.acquire_or_renew():
            if was_held:
                log(Event.LEASE_LOST, service=document.name)
            return
        if not was_held:
            log(Event.LEASE_TAKEN, service=document.name, fencing=lease.version)
            self.audit.record("lease taken", service=document.name, fencing=lease.version)
        for target in document.targets.values():
            if target.model:
                await self.reconcile_target(lease, target)

    def lease(self, service: str) -> Lease:
        """Return the lease for a service's orders, created on first use."""
        if service not in self.leases:
            self.leases[service] = Lease(
                f"orders-{service}", self.router, self.lease_duration_s, self.platform
            )
        return self.leases[service]

    async def reconcile_target(self, lease: Lease, target: Target) -> None:
        """Order the specified model if the engine has loaded another."""
        loaded = await self.read_loaded_model(target)
        if loaded is None or loaded == target.model:
            return
        if not self.load_limiter.try_consume():
            return
        # Checked last, since the process may have been paused at any point above.
        if not lease.is_held(margin_s=ORDER_TIMEOUT_S):
            return
        await self.send(Order(target.model, lease.version), target)

    async def read_loaded_model(self, target: Target) -> str | None:
        """Return the model that an engine has loaded, or None if the engine does not answer."""
        url = f"http://{target.address}/model"
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        try:
            session = self.engines.sessions.pooled
            async with session.get(url, timeout=timeout, allow_redirects=False) as response:
                body = await read_success(response, self.engines.sessions.memory)
            return decode_json(body, EngineModel).model
        except (aiohttp.ClientError, MayHaveRunError, TimeoutError, msgspec.MsgspecError):
            return None

    async def send(self, order: Order, target: Target) -> None:
        """Send an order and record the result in the log and the audit trail."""
        url = f"http://{target.address}/orders"
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        body = msgspec.json.encode(order)
        try:
            async with self.engines.sessions.unpooled.post(
                url, data=body, timeout=timeout, allow_redirects=False
            ) as response:
                await read_success(response, self.engines.sessions.memory)
            accepted = True
        except (aiohttp.ClientError, MayHaveRunError, OSError, TimeoutError):
            accepted = False
        event = Event.ORDER_SENT if accepted else Event.ORDER_FAILED
        log(event, target=target.name, model=order.model, fencing=order.fencing)
        self.audit.record(
            "order sent" if accepted else "order failed",
            target=target.name,
            model=order.model,
            fencing=order.fencing,
        )

    async def release_leases(self) -> None:
        """Release all leases, so that other routers can acquire them without waiting."""
        await asyncio.gather(*[lease.release() for lease in self.leases.values()])
