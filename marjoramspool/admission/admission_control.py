"""Admission control by the owner of a cell, or locally if no owner answers.

The owner of a cell may be this router or another one.
"""

import time
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Protocol

from marjoramspool import hashing, partition
from marjoramspool.admission.admission_messages import (
    Admission,
    AdmissionRequest,
    EngineView,
    Refused,
)
from marjoramspool.admission.cell import Cell
from marjoramspool.configuration import Configuration
from marjoramspool.document import Document
from marjoramspool.events import Event, log
from marjoramspool.membership import Membership, State
from marjoramspool.placement.bounded_placement import BoundedLoad, HashOnly, Policy, TwoChoices
from marjoramspool.placement.ranking import Rankings
from marjoramspool.targets import Targets, limit_key

__all__ = [
    "AdmissionController",
    "Grant",
    "OwnerClient",
    "OwnerNotReadyError",
    "OwnerUnavailableError",
]

MAX_OWNERS_ASKED = 2


class OwnerUnavailableError(Exception):
    """Raised when the owner of a cell cannot be reached or does not answer in time."""


class OwnerNotReadyError(OwnerUnavailableError):
    """Raised when the owner of a cell has no document of its service yet."""


class OwnerClient(Protocol):
    """Client of other routers in their role as owners of cells."""

    async def request_admission(self, owner: str, request: AdmissionRequest) -> Admission:
        """Request admission; raise OwnerUnavailableError if the owner does not answer in time."""

    def release(self, owner: str, cell: str, engine: str, account: str) -> None:
        """Release one attempt."""

    def report_grants(self, owner: str, cell: str, grants: dict[tuple[str, str], int]) -> None:
        """Report to an owner all grants that this router holds in a cell."""


@dataclass(slots=True, frozen=True)
class Grant:
    """Granted attempt, which must be released."""

    request: AdmissionRequest
    engine: str
    incarnation: int
    why: str
    owner: str


class AdmissionController:
    """Admit attempts of this router, and attempts of other routers in the cells it owns."""

    __slots__ = (
        "cells",
        "clock",
        "configuration",
        "current_owners",
        "membership",
        "owner_client",
        "placement",
        "ranked_version",
        "rankings",
        "targets",
    )

    def __init__(
        self,
        configuration: Configuration,
        membership: Membership,
        targets: Targets,
        placement: str,
        owner_client: OwnerClient,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.configuration = configuration
        self.membership = membership
        self.targets = targets
        self.placement = placement
        self.owner_client = owner_client
        self.clock = clock
        self.cells: dict[str, Cell] = {}
        self.rankings = Rankings()
        self.ranked_version = -1
        self.current_owners: dict[str, str] = {}
        membership.changes.subscribe(lambda _: self.apply_membership())
        configuration.changes.subscribe(self.apply_document)

    @property
    def local_name(self) -> str:
        """Return the name of this router."""
        return self.membership.local_member.name

    def cell(self, name: str) -> Cell:
        """Return the state of a cell, created at first use."""
        if name not in self.cells:
            document = self.configuration.document(partition.service_of(name))
            policy = self.policy_for(document)
            urgent_reserve = document.urgent_reserve if document else 0.0
            self.cells[name] = Cell(
                policy,
                urgent_reserve,
                lambda: self.usable_engines(name),
                self.clock,
                lambda engine: self.record_granted(name, engine),
            )
        return self.cells[name]

    def policy_for(self, document: Document | None) -> Policy:
        """Return the placement policy of a service."""
        match self.placement:
            case "hash":
                return HashOnly()
            case "two-choices":
                return TwoChoices()
        return BoundedLoad(document.load_bound if document else 1.0)

    def usable_engines(self, name: str) -> list[EngineView]:
        """Return the usable engines of a cell."""
        document = self.configuration.document(partition.service_of(name))
        if document is None:
            return []
        engines = partition.engines_of(document, name)
        usable = self.targets.usable(document, engines)
        sharing = self.routers_sharing(name)
        return [
            EngineView(
                engine,
                self.targets.incarnation(document.targets[engine].address),
                self.slot_share(engine, document.targets[engine].slots, sharing),
                self.targets.limits.room(
                    limit_key(document.targets[engine].address), 1 / len(sharing)
                ),
            )
            for engine in engines
            if engine in usable
        ]

    def record_granted(self, cell: str, engine: str) -> None:
        """Count a request to an engine that this router granted, against its rate limit."""
        document = self.configuration.document(partition.service_of(cell))
        target = document.targets.get(engine) if document else None
        if target:
            self.targets.limits.record_sent(limit_key(target.address))

    def routers_sharing(self, cell: str) -> list[str]:
        """Return the routers that divide the slots of a cell's engines; only this one as its owner.

        Load pattern: the owner answers late, and goes on admitting requests. A router that decides
        in its stead with all slots, by its own counts, doubles the load of an engine that is full.
        """
        live = {member.name for member in self.membership.live_members()} | {self.local_name}
        if self.placement == "quota" or live == self.membership.responsive_names():
            return [self.local_name]
        owner = hashing.rank(partition.cell_key(cell), live)[0]
        return [self.local_name] if owner == self.local_name else sorted(live)

    def slot_share(self, engine: str, slots: int, routers: list[str]) -> int:
        """Return the slots of an engine that this router may use; the shares add up to all."""
        share, rest = divmod(slots, len(routers))
        if not rest:
            return share
        order = hashing.rank(hashing.digest(engine), routers)
        return share + (order.index(self.local_name) < rest)

    def owner_order(self, cell: str) -> list[str]:
        """Return the routers in the order to ask them, the current owner first."""
        if self.placement == "quota":
            return [self.local_name]
        version = self.membership.version()
        if version != self.ranked_version:
            self.ranked_version = version
            self.rankings.update(self.membership.responsive_names() or {self.local_name})
        return self.rankings.top_names(partition.cell_key(cell))

    def update_owners(self) -> None:
        """Move this router's grants in cells whose owner has changed to the new owners."""
        self.membership.version()
        for name in list(self.cells):
            self.update_owner(name)

    @asynccontextmanager
    async def admitted(self, request: AdmissionRequest):
        """Admit one attempt for the duration of a block; yield a Grant or a Refused."""
        owner, decision = await self.request_from_owners(request)
        if isinstance(decision, Refused):
            yield decision
            return
        if owner != self.local_name:
            self.cell(request.cell).record_grant(self.local_name, decision.engine, request.account)
            self.transfer_grant(owner, request, decision.engine)
        grant = Grant(request, decision.engine, decision.incarnation, decision.why, owner)
        try:
            yield grant
        finally:
            self.release(grant)

    async def request_from_owners(self, request: AdmissionRequest) -> tuple[str, Admission]:
        """Ask the owner, then its successor; decide locally if neither answers."""
        for owner in self.owner_order(request.cell)[:MAX_OWNERS_ASKED]:
            if owner == self.local_name:
                break
            self.update_owner(request.cell)
            try:
                return owner, await self.owner_client.request_admission(owner, request)
            except OwnerUnavailableError as error:
                log(Event.OWNER_SILENT, owner=owner, cell=request.cell, why=str(error))
                self.membership.mark_unresponsive(owner)
        return self.local_name, await self.cell(request.cell).admit(request, self.local_name)

    def transfer_grant(self, owner: str, request: AdmissionRequest, engine: str) -> None:
        """Move a grant to the current owner if the owner changed while the request was pending."""
        current = self.current_owners.get(request.cell, owner)
        if current == owner:
            return
        self.owner_client.release(owner, request.cell, engine, request.account)
        if current != self.local_name:
            self.owner_client.report_grants(current, request.cell, self.local_grants(request.cell))

    def release(self, grant: Grant) -> None:
        """Release one attempt, here and at the current owner."""
        request = grant.request
        self.cell(request.cell).release(self.local_name, grant.engine, request.account)
        owner = self.current_owners.get(request.cell, self.local_name)
        if owner != self.local_name:
            self.owner_client.release(owner, request.cell, grant.engine, request.account)

    def resend_grants(self) -> None:
        """Report this router's grants to the owners again.

        The reports correct the counts of owners that missed earlier messages.
        """
        self.update_owners()
        for owner, name, grants in self.grants_by_owner():
            if owner != self.local_name:
                self.owner_client.report_grants(owner, name, grants)

    def local_grants(self, cell: str) -> dict[tuple[str, str], int]:
        """Return the grants that this router holds in a cell."""
        return dict(self.cell(cell).sessions.get(self.local_name, {}))

    def grants_by_owner(self) -> list[tuple[str, str, dict[tuple[str, str], int]]]:
        """Return the current owner, the name and the grants of each cell with local grants."""
        return [
            (self.current_owners[name], name, self.local_grants(name))
            for name in self.cells
            if name in self.current_owners and self.local_grants(name)
        ]

    def apply_membership(self) -> None:
        """Remove the sessions of dead routers; report this router's grants to new owners.

        A router that shuts down gracefully still finishes its streams, so its session is kept
        until it ends.
        """
        dead = {m.name for m in self.membership.members.values() if m.state == State.DEAD}
        for cell in list(self.cells.values()):
            for session in set(cell.sessions) & dead:
                cell.remove_session(session)
        self.update_owners()

    def update_owner(self, name: str) -> None:
        """Move this router's grants in a cell to its current owner if that has changed."""
        previous, current = self.current_owners.get(name), self.owner_order(name)[0]
        if previous == current:
            return
        self.current_owners[name] = current
        grants = self.local_grants(name)
        if previous and previous != self.local_name:
            self.owner_client.report_grants(previous, name, {})
        if current != self.local_name and grants:
            self.owner_client.report_grants(current, name, grants)

    def apply_document(self, service: str) -> None:
        """Apply the policy and reserve of a new document; admit queued requests that now fit."""
        document = self.configuration.document(service)
        for name, cell in self.cells.items():
            if partition.service_of(name) == service and document:
                cell.policy = self.policy_for(document)
                cell.urgent_reserve = document.urgent_reserve
                cell.serve_waiting()

    def remove_session(self, router: str) -> None:
        """Remove all grants of another router."""
        for cell in self.cells.values():
            cell.remove_session(router)

    def owned_cells(self) -> list[str]:
        """Return the cells of all services that this router currently owns."""
        return [
            name
            for document in self.configuration.documents()
            for name in partition.cell_names(document)
            if self.owner_order(name)[0] == self.local_name
        ]
