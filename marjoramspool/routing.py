"""The life of one request: claim, admission, attempts, outcome."""

import asyncio
import time
import uuid
from collections.abc import AsyncIterator, Coroutine
from contextlib import AbstractAsyncContextManager, AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace

from marjoramspool import hashing, ledger, partition
from marjoramspool.admission_control import AdmissionController, Grant
from marjoramspool.admission_messages import URGENT_THRESHOLD, AdmissionRequest, Refused
from marjoramspool.bounded_placement import Holder
from marjoramspool.claims import Claims
from marjoramspool.dispatch import Answer, Dispatcher, Request, single
from marjoramspool.document import Target
from marjoramspool.events import Event, log
from marjoramspool.explain import Trace, Traces
from marjoramspool.failures import (
    AttemptError,
    BrokenAnswerError,
    NotSentError,
    SilentConnectionError,
    TargetRefusedError,
)
from marjoramspool.metrics import Metrics
from marjoramspool.outcomes import NotRun, Problem, Unknown
from marjoramspool.targets import Targets
from marjoramspool.tokens import RetryBudget

__all__ = ["Routing"]

ATTEMPTS = 4
HOLDERS_KEPT = 3
BYTES_A_TOKEN = 4
OUTCOME_PAUSES_S = (0.1, 0.2, 0.4)
RETRY_SOON_S = 1.0
FINISH_WAIT_S = 5.0
NO_TARGET = Problem(503, "no target of the service is usable", "send it again", RETRY_SOON_S)


@dataclass(slots=True, frozen=True)
class Claim:
    """Name a claimed key and the one attempt that may run under it."""

    key: str
    attempt: str


@dataclass(slots=True)
class Tries:
    """Track the attempts of one request: the targets to pass over and the last problem."""

    number: int = 0
    exclude: list[str] = field(default_factory=list)
    may_have_run: bool = False
    problem: Problem = NO_TARGET


class Routing:
    """Serve requests; every answer is whole, and every failure says whether it ran."""

    __slots__ = (
        "admissions",
        "claims",
        "dispatchers",
        "metrics",
        "retries",
        "targets",
        "traces",
        "unfinished",
    )

    def __init__(
        self,
        admissions: AdmissionController,
        claims: Claims,
        targets: Targets,
        dispatchers: dict[str, Dispatcher],
        traces: Traces,
        metrics: Metrics,
    ):
        self.admissions = admissions
        self.claims = claims
        self.targets = targets
        self.dispatchers = dispatchers
        self.traces = traces
        self.metrics = metrics
        self.retries: dict[str, RetryBudget] = {}
        self.unfinished: set[asyncio.Task] = set()

    @asynccontextmanager
    async def serve(self, request: Request) -> AsyncIterator[Answer | NotRun | Unknown]:
        """Serve a request; yield its answer, or why there is none."""
        trace = self.traces.start(request.id, request.document.name, request.account.name)
        async with AsyncExitStack() as stack:
            if request.key is None:
                outcome = await self.attempts(request, trace, stack)
            else:
                outcome = await self.claimed(request, trace, stack)
            if not isinstance(outcome, Answer):
                trace.outcome = outcome.tag
                trace.note("gave up", why=outcome.problem.title)
            yield outcome

    async def claimed(
        self, request: Request, trace: Trace, stack: AsyncExitStack
    ) -> Answer | NotRun | Unknown:
        """Serve a request with an idempotency key: claim the key, then run at most once."""
        claim = Claim(
            ledger.claim_key(request.document.name, request.account.name, request.key),
            uuid.uuid4().hex,
        )
        result = await self.take(ledger.Take(claim.key, body_hash(request), claim.attempt))
        trace.note("claim", result=type(result).__name__)
        self.metrics.count(f"claim.{type(result).__name__.lower()}")
        match result:
            case ledger.Granted():
                # A caller that leaves must not cut a run whose outcome its repeat will ask for.
                return await asyncio.shield(self.background(self.run(request, trace, claim)))
            case ledger.Repeated(status, answer, content_type, is_kept):
                return replay(status, answer, content_type) if is_kept else not_kept(status)
            case ledger.Mismatch():
                title = "the key was used with another request"
                return NotRun(Problem(422, title, "use a new key"))
            case ledger.Claimed():
                remedy = "ask again later with the same key; it will not run twice"
                title = "an earlier attempt with this key has no recorded outcome"
                return Unknown(Problem(409, title, remedy, RETRY_SOON_S))
            case ledger.Unsettled(why):
                self.claims.release_later(claim.key, claim.attempt)
                title = f"the key could not be claimed: {why}"
                return NotRun(Problem(503, title, "send it again with the same key", RETRY_SOON_S))

    async def take(self, take: ledger.Take) -> ledger.Result:
        """Claim a key; wait for the outcome of an earlier attempt that is just being recorded."""
        result = await self.claims.commit(take)
        for pause_s in OUTCOME_PAUSES_S:
            if not isinstance(result, ledger.Claimed):
                break
            await asyncio.sleep(pause_s)
            result = await self.claims.commit(take)
        return result

    async def run(self, request: Request, trace: Trace, claim: Claim) -> Answer | NotRun | Unknown:
        """Run the attempt that holds a key, and record what came of it."""
        async with AsyncExitStack() as stack:
            outcome = await self.attempts(request, trace, stack)
            if isinstance(outcome, Answer):
                try:
                    body = b"".join([part async for part in outcome.parts])
                except BrokenAnswerError as error:
                    return Unknown(Problem(502, str(error), remedy_unknown(request)))
                outcome = replace(outcome, parts=single(body), length=len(body))
                self.claims.settle_later(finish(claim, outcome, body))
            elif isinstance(outcome, NotRun):
                self.claims.settle_later(ledger.Release(claim.key, claim.attempt))
                self.claims.release_later(claim.key, claim.attempt)
            return outcome

    def background(self, work: Coroutine) -> asyncio.Task:
        """Run work that a graceful shutdown waits for."""
        task = asyncio.create_task(work)
        self.unfinished.add(task)
        task.add_done_callback(self.unfinished.discard)
        return task

    async def attempts(
        self, request: Request, trace: Trace, stack: AsyncExitStack
    ) -> Answer | NotRun | Unknown:
        """Try targets until one answers; say honestly whether the request may have run."""
        self.retry_budget(request).earn()
        tries = Tries()
        while tries.number < ATTEMPTS:
            ask = self.ask(request, tries)
            if ask is None:
                break
            async with AsyncExitStack() as attempt_stack:
                result = await self.attempt(request, ask, tries, trace, attempt_stack)
                if isinstance(result, Answer):
                    stack.push_async_exit(attempt_stack.pop_all())
                    return result
            if isinstance(result, Problem):
                tries.problem = result
                break
            if not self.may_try_again(request, tries, result):
                break
            tries.number += 1
        return Unknown(tries.problem) if tries.may_have_run else NotRun(tries.problem)

    def may_try_again(self, request: Request, tries: Tries, error: AttemptError) -> bool:
        """Take in a failed attempt; tell whether the request may be sent again."""
        budget = self.retry_budget(request)
        match error:
            case NotSentError():
                tries.problem = Problem(503, str(error), "send it again", RETRY_SOON_S)
                return True
            case TargetRefusedError():
                tries.problem = Problem(503, str(error), "send it again", RETRY_SOON_S)
                return budget.spend()
            case _:
                tries.may_have_run = True
                remedy = remedy_unknown(request)
                tries.problem = Problem(502, str(error), remedy, RETRY_SOON_S)
                return request.is_repeatable and budget.spend()

    async def attempt(
        self,
        request: Request,
        ask: AdmissionRequest,
        tries: Tries,
        trace: Trace,
        stack: AsyncExitStack,
    ) -> Answer | Problem | AttemptError:
        """Admit and send one attempt; the stack owns its slot and its connection."""
        decision = await stack.enter_async_context(self.admissions.admitted(ask))
        if isinstance(decision, Refused):
            self.metrics.count("refused")
            trace.note("refused", reason=decision.reason, retry_after_s=decision.retry_after_s)
            remedy = "send it again after the given time"
            return Problem(503, decision.reason, remedy, decision.retry_after_s)
        tries.exclude.append(decision.engine)
        target = request.document.targets.get(decision.engine)
        if target is None:
            return NotSentError(f"{decision.engine} is not in this router's document")
        trace.note("admitted", target=decision.engine, why=decision.why, owner=decision.owner)
        self.metrics.count(f"placed.{decision.why}")
        try:
            answer = await stack.enter_async_context(self.open(request, target, tries))
        except AttemptError as error:
            self.note_failure(request, target, tries, trace, error)
            return error
        trace.note("answer begun", target=target.name, status=answer.status)
        answer.holders = next_holders(decision, request.holders)
        return answer

    def open(
        self, request: Request, target: Target, tries: Tries
    ) -> AbstractAsyncContextManager[Answer]:
        """Send one attempt under an id of its own."""
        if tries.number:
            self.metrics.count("retry")
        # Two callers may choose one request id; attempts must differ all the same.
        attempt = f"{request.id}.{uuid.uuid4().hex[:12]}.{tries.number}"
        # A reused connection may break just as the request is written, so that nobody knows
        # whether it ran; requests that may not be repeated go over a new one.
        reuse = tries.number == 0 and request.is_repeatable
        return self.dispatchers[request.document.kind].open(request, target, attempt, reuse)

    def note_failure(
        self, request: Request, target: Target, tries: Tries, trace: Trace, error: AttemptError
    ) -> None:
        """Record a failed attempt, and what it says of its target."""
        if isinstance(error, NotSentError):
            self.targets.record_failure(target.address)
        if isinstance(error, SilentConnectionError):
            tries.exclude.remove(target.name)
        trace.note("attempt failed", target=target.name, why=str(error))
        log(Event.ATTEMPT_FAILED, request=request.id, target=target.name, why=str(error))

    def ask(self, request: Request, tries: Tries) -> AdmissionRequest | None:
        """Return what to ask the owner; None if no target is usable or the deadline passed."""
        left_s = request.deadline - time.monotonic()
        if left_s <= 0:
            tries.problem = Problem(504, "the deadline passed", "send it again", RETRY_SOON_S)
            return None
        document = request.document
        chat = request.chat if request.chat is not None else hashing.digest(request.id)

        def usable(names: tuple[str, ...]) -> set[str]:
            return self.targets.usable(document, names) - set(tries.exclude)

        cell = partition.cell_of(document, chat, request.holders, usable)
        if cell is None:
            return None
        return AdmissionRequest(
            cell=cell,
            chat=chat,
            holders=request.holders,
            account=request.account.name,
            weight=request.account.weight,
            urgency=request.urgency,
            exclude=tuple(tries.exclude),
            wait_s=min(document.queue_wait_s, left_s),
            holder_wait_s=patience(request),
            first_turn=request.first_turn or request.chat is None,
        )

    def retry_budget(self, request: Request) -> RetryBudget:
        """Return the retry budget of a service."""
        name = request.document.name
        if name not in self.retries:
            self.retries[name] = RetryBudget(request.document.retry_budget)
        budget = self.retries[name]
        budget.fraction = request.document.retry_budget
        return budget

    async def finish(self) -> None:
        """Wait until the outcomes of claimed requests are recorded."""
        while self.unfinished:
            await asyncio.wait(list(self.unfinished))
        await self.claims.finish(FINISH_WAIT_S)


def body_hash(request: Request) -> str:
    """Return a hash over what a key must not be reused for."""
    head = f"{request.method} {request.path}\0".encode()
    return hashing.long_digest(head + request.body)


def finish(claim: Claim, answer: Answer, body: bytes) -> ledger.Finish:
    """Return the record of a completed attempt; only a short text is kept."""
    content_type = answer.headers.get("Content-Type", "")
    try:
        text = body.decode()
    except UnicodeDecodeError:
        return ledger.Finish(claim.key, claim.attempt, answer.status, "", content_type, False)
    is_kept = len(body) <= ledger.ANSWER_KEPT_BYTES
    kept = text if is_kept else ""
    return ledger.Finish(claim.key, claim.attempt, answer.status, kept, content_type, is_kept)


def replay(status: int, answer: str, content_type: str) -> Answer:
    """Return the recorded answer of an earlier attempt."""
    body = answer.encode()
    headers = {"Content-Type": content_type} if content_type else {}
    headers["Marjoramspool-Replayed"] = "true"
    return Answer(status, headers, single(body), len(body))


def not_kept(status: int) -> Unknown:
    """Return what a repeat gets whose recorded answer was too long to keep."""
    title = f"the request ran once with status {status}; its answer was too long to keep"
    return Unknown(Problem(409, title, "read the result at the service; do not send it again"))


def patience(request: Request) -> float:
    """Return how long to wait for a holder: no longer than computing the prefix again takes."""
    if request.urgency <= URGENT_THRESHOLD:
        return 0.0
    document = request.document
    tokens = len(request.body) / BYTES_A_TOKEN
    return min(document.patience_s, tokens / document.prefill_tokens_per_s)


def remedy_unknown(request: Request) -> str:
    """Return what a caller can do about a request that may have run."""
    if request.key:
        return "it will not run again; check at the service whether it ran"
    if request.is_unsafe:
        return "check at the service whether it ran before you send it again"
    return "send it again"


def next_holders(grant: Grant, holders: tuple[Holder, ...]) -> tuple[Holder, ...]:
    """Return the engines that hold a chat's prefix now, the latest first."""
    others = tuple(holder for holder in holders if holder.engine != grant.engine)
    return (Holder(grant.engine, grant.incarnation), *others)[:HOLDERS_KEPT]
