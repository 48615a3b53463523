"""Contended services: what a router knows of them for the admission of their accounts.

Load pattern: client accounts ask for more than the slots of a service's engines can run.
"""

from collections.abc import Iterator

from marjoramspool.admission.account_admission import Account, AccountAdmission, Contended
from marjoramspool.admission.service_capacity import ServiceView
from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.requests import RoutedRequest

__all__ = ["ContendedServices"]


class ContendedServices:
    """Admission by account at the services of `selector`, an EngineSelector."""

    __slots__ = ("accounts", "selector")

    def __init__(self, selector):
        self.selector = selector
        self.accounts = AccountAdmission(self.service_view, self.known_accounts)

    def refuse(self, request: RoutedRequest) -> Contended | None:
        """Return the refusal of a request for a contended service, None if it is admitted."""
        if not self.is_shared_by_account(request.service):
            return None
        account = account_of(request)
        refusal = self.accounts.decide(account, request.id, request.remaining_s())
        request.is_admitted = refusal is None
        return refusal

    def refuse_full(self, request: RoutedRequest) -> Contended | None:
        """Return the refusal of a request without a free slot, None if that is not the reason."""
        if not self.accounts.tells_free_slots(request.service):
            return None
        return self.accounts.refuse_full(account_of(request), request.id, request.remaining_s())

    def with_free_slots(self, engines: list[Engine], request: RoutedRequest) -> list[Engine]:
        """Return the engines with a free slot while a service is contended and reports are new."""
        accounts, service, requests = self.accounts, request.service, self.selector.loads.requests
        is_bound = request.is_admitted and not request.may_queue
        if not is_bound or not accounts.tells_free_slots(service):
            return engines
        free = {
            engine: slots
            for engine in engines
            if (slots := accounts.free_slots(service, engine.id, requests(engine.id), engine.slots))
        }
        has_room = accounts.has_room(account_of(request), request.id, sum(free.values()))
        return list(free) if has_room else []

    def record_full(self, engine: Engine) -> None:
        """Record that an engine turned a request away, unless it named a pause or a limit."""
        is_full = (
            not self.selector.pauses.is_paused(engine)
            and self.selector.limits.limit_per_s(engine.key) is None
        )
        if is_full and self.is_shared_by_account(engine.service):
            requests = max(0, self.selector.loads.requests(engine.id) - 1)
            self.accounts.record_refusal(engine.service, engine.id, requests, engine.slots)

    def record_whole_answer(self, placement, time_s: float) -> None:
        """Record the time that an engine took for a whole answer."""
        engine = placement.engine
        if self.is_shared_by_account(engine.service):
            requests = placement.choice.engine.load.requests + 1
            self.accounts.record_answer(engine.service, time_s, requests, engine.slots)

    def is_throttled(self, request: RoutedRequest) -> bool:
        """Return whether a part of the requests of a request's account is refused now."""
        return self.accounts.is_throttled(account_of(request))

    def is_shared_by_account(self, service: str) -> bool:
        """Return whether the slots of a service's engines say what it can run.

        Engines of a model service are bound by their memory and prefill instead.
        """
        table = self.selector.table()
        known = table.services.get(service) if table else None
        return known is not None and known.engine_capacity is None

    def service_view(self, service: str) -> ServiceView:
        """Return the slots of the usable engines of a service, and the requests there."""
        usable = [
            e
            for e in self.selector.engines.usable(service)
            if not self.selector.pauses.is_paused(e)
        ]
        serving = self.selector.outliers.exclude_ejected(engine.id for engine in usable)
        engines = [engine for engine in usable if engine.id in serving]
        return ServiceView(
            sum(engine.slots for engine in engines),
            sum(self.selector.loads.requests(engine.id) for engine in engines),
            self.selector.other_routers() + 1,
            self.selector.heard_share(),
            self.selector.report_age_s(),
        )

    def known_accounts(self, service: str) -> Iterator[Account]:
        """Yield the accounts whose requests for a service may reach any router."""
        table = self.selector.table()
        if table is None:
            return
        priorities = table.priorities(service)
        for priority in priorities:
            yield Account(service, "", priority)
        for account in table.accounts_by_name.values():
            own = priorities if account.priority is None else {account.priority}
            for priority in own:
                yield Account(service, account.name, priority)


def account_of(request: RoutedRequest) -> Account:
    """Return the client account of a request at its service and priority."""
    name = request.account.name if request.account else ""
    return Account(request.service, name, request.priority)
