"""Where admission is decided: here, at the owner of the cell, or locally if it is silent."""

import time
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Protocol

from marjoramspool import partition
from marjoramspool.admission_messages import Admission, Ask, EngineView, Refused
from marjoramspool.bounded_placement import Bounded, HashOnly, Policy, TwoChoices
from marjoramspool.cell import Cell
from marjoramspool.configuration import Configuration
from marjoramspool.document import Document
from marjoramspool.events import Event, log
from marjoramspool.membership import Membership, State
from marjoramspool.ranking import Rankings
from marjoramspool.targets import Targets

__all__ = ["Admissions", "Grant", "OwnerNotReadyError", "OwnerSilentError", "Owners"]

OWNERS_TRIED = 2


class OwnerSilentError(Exception):
    """Report that the owner of a cell did not answer in time."""


class OwnerNotReadyError(OwnerSilentError):
    """Report that the owner of a cell does not know its service yet."""


class Owners(Protocol):
    """Ask other routers, as owners of cells."""

    async def place(self, owner: str, ask: Ask) -> Admission:
        """Ask an owner; raise OwnerSilentError if it does not answer in time."""

    def release(self, owner: str, cell: str, engine: str, account: str) -> None:
        """Give back one attempt."""

    def hold(self, owner: str, cell: str, holds: dict[tuple[str, str], int]) -> None:
        """Tell an owner all that this router holds in a cell."""


@dataclass(slots=True, frozen=True)
class Grant:
    """Hold one granted attempt, which must be given back."""

    ask: Ask
    engine: str
    incarnation: int
    why: str
    owner: str


class Admissions:
    """Admit the attempts of this router, and those of others for the cells it owns."""

    __slots__ = (
        "cells",
        "clock",
        "configuration",
        "membership",
        "order_version",
        "owned_by",
        "owners",
        "placement",
        "rankings",
        "targets",
    )

    def __init__(
        self,
        configuration: Configuration,
        membership: Membership,
        targets: Targets,
        placement: str,
        owners: Owners,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.configuration = configuration
        self.membership = membership
        self.targets = targets
        self.placement = placement
        self.owners = owners
        self.clock = clock
        self.cells: dict[str, Cell] = {}
        self.rankings = Rankings()
        self.order_version = -1
        self.owned_by: dict[str, str] = {}
        membership.changes.subscribe(lambda _: self.follow_members())
        configuration.changes.subscribe(self.follow_document)

    @property
    def me(self) -> str:
        """Return the name of this router."""
        return self.membership.me.name

    def cell(self, name: str) -> Cell:
        """Return the state of a cell, made at first use."""
        if name not in self.cells:
            document = self.configuration.document(partition.service_of(name))
            policy = self.policy(document)
            reserve = document.urgent_reserve if document else 0.0
            self.cells[name] = Cell(policy, reserve, lambda: self.view(name), self.clock)
        return self.cells[name]

    def policy(self, document: Document | None) -> Policy:
        """Return the placement policy of a service."""
        match self.placement:
            case "hash":
                return HashOnly()
            case "two-choices":
                return TwoChoices()
        return Bounded(document.load_bound if document else 1.0)

    def view(self, name: str) -> list[EngineView]:
        """Return the usable engines of a cell."""
        document = self.configuration.document(partition.service_of(name))
        if document is None:
            return []
        engines = partition.engines_of(document, name)
        usable = self.targets.usable(document, engines)
        return [
            EngineView(
                engine,
                self.targets.incarnation(document.targets[engine].address),
                document.targets[engine].slots,
            )
            for engine in engines
            if engine in usable
        ]

    def owner_order(self, cell: str) -> list[str]:
        """Return the routers to ask, the present owner first."""
        if self.placement == "quota":
            return [self.me]
        version = self.membership.version()
        if version != self.order_version:
            self.order_version = version
            self.rankings.update(self.membership.responsive() or {self.me})
        return self.rankings.first(partition.cell_key(cell))

    def follow_owners(self) -> None:
        """Move this router's holdings if owners have changed since the last look."""
        self.membership.version()
        for name in list(self.cells):
            self.follow_owner(name)

    @asynccontextmanager
    async def admitted(self, ask: Ask):
        """Admit one attempt for the length of a block; yield a Grant or a Refused."""
        owner, decision = await self.ask_owners(ask)
        if isinstance(decision, Refused):
            yield decision
            return
        if owner != self.me:
            self.cell(ask.cell).hold(self.me, decision.engine, ask.account)
            self.settle_owner(owner, ask, decision.engine)
        grant = Grant(ask, decision.engine, decision.incarnation, decision.why, owner)
        try:
            yield grant
        finally:
            self.release(grant)

    async def ask_owners(self, ask: Ask) -> tuple[str, Admission]:
        """Ask the owner, its successor if it is silent, and decide here if both are."""
        for owner in self.owner_order(ask.cell)[:OWNERS_TRIED]:
            if owner == self.me:
                break
            self.follow_owner(ask.cell)
            try:
                return owner, await self.owners.place(owner, ask)
            except OwnerSilentError as error:
                log(Event.OWNER_SILENT, owner=owner, cell=ask.cell, why=str(error))
                self.membership.note_silent(owner)
        return self.me, await self.cell(ask.cell).admit(ask, self.me)

    def settle_owner(self, owner: str, ask: Ask, engine: str) -> None:
        """Move a grant to the owner of now if its owner changed while it was asked for."""
        now = self.owned_by.get(ask.cell, owner)
        if now == owner:
            return
        self.owners.release(owner, ask.cell, engine, ask.account)
        if now != self.me:
            self.owners.hold(now, ask.cell, self.holds(ask.cell))

    def release(self, grant: Grant) -> None:
        """Give back one attempt, here and at the owner of now."""
        ask = grant.ask
        self.cell(ask.cell).release(self.me, grant.engine, ask.account)
        owner = self.owned_by.get(ask.cell, self.me)
        if owner != self.me:
            self.owners.release(owner, ask.cell, grant.engine, ask.account)

    def repeat_holdings(self) -> None:
        """Tell owners again what this router holds, so that lost messages do no lasting harm."""
        self.follow_owners()
        for owner, name, holds in self.held():
            if owner != self.me:
                self.owners.hold(owner, name, holds)

    def holds(self, cell: str) -> dict[tuple[str, str], int]:
        """Return what this router holds in a cell."""
        return dict(self.cell(cell).sessions.get(self.me, {}))

    def held(self) -> list[tuple[str, str, dict[tuple[str, str], int]]]:
        """Return the owner of now, the cell and the holdings of each cell held in."""
        return [
            (self.owned_by[name], name, self.holds(name))
            for name in self.cells
            if name in self.owned_by and self.holds(name)
        ]

    def follow_members(self) -> None:
        """Forget routers that died; tell new owners what this router holds.

        A router that leaves on purpose still finishes its streams; its session ends with them.
        """
        dead = {m.name for m in self.membership.members.values() if m.state == State.DEAD}
        for cell in list(self.cells.values()):
            for session in set(cell.sessions) & dead:
                cell.drop(session)
        self.follow_owners()

    def follow_owner(self, name: str) -> None:
        """Move this router's holdings of a cell to its owner of now."""
        before, now = self.owned_by.get(name), self.owner_order(name)[0]
        if before == now:
            return
        self.owned_by[name] = now
        holds = self.holds(name)
        if before and before != self.me:
            self.owners.hold(before, name, {})
        if now != self.me and holds:
            self.owners.hold(now, name, holds)

    def follow_document(self, service: str) -> None:
        """Take the policy of a new document; wake asks that it may have made room for."""
        document = self.configuration.document(service)
        for name, cell in self.cells.items():
            if partition.service_of(name) == service and document:
                cell.policy = self.policy(document)
                cell.reserve = document.urgent_reserve
                cell.serve_waiting()

    def drop_session(self, router: str) -> None:
        """Forget all that another router held here."""
        for cell in self.cells.values():
            cell.drop(router)

    def owned(self) -> list[str]:
        """Return the cells of all services that this router owns now."""
        return [
            name
            for document in self.configuration.documents()
            for name in partition.cell_names(document)
            if self.owner_order(name)[0] == self.me
        ]
