"""Handling of one request: claim, admission, attempts and outcome."""

import asyncio
import time
import uuid
from collections.abc import AsyncIterator, Coroutine
from contextlib import AbstractAsyncContextManager, AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace

from marjoramspool import hashing, ledger, partition
from marjoramspool.admission.admission_control import AdmissionController, Grant
from marjoramspool.admission.admission_messages import URGENT_THRESHOLD, AdmissionRequest, Refused
from marjoramspool.admission.token_bucket import RetryBudget
from marjoramspool.claims import Claims
from marjoramspool.clock import now
from marjoramspool.dispatch import Answer, Dispatcher, Request, single_part
from marjoramspool.document import Target
from marjoramspool.engine_state.engine_reach import Path
from marjoramspool.engine_state.poison_parts import PoisonDetector, Quarantine
from marjoramspool.events import Event, log
from marjoramspool.explain import Trace, Traces
from marjoramspool.failures import (
    AttemptError,
    BrokenAnswerError,
    MayHaveRunError,
    NoPathError,
    NotSentError,
    PeerFailedError,
    PeerRefusedError,
    SilentConnectionError,
    TargetRefusedError,
)
from marjoramspool.http import is_refusing_connections
from marjoramspool.metrics import Metrics
from marjoramspool.outcomes import NotRun, Problem, Unknown
from marjoramspool.peer_routing import PeerRouting
from marjoramspool.placement.bounded_placement import Holder
from marjoramspool.target_failures import TargetFailures
from marjoramspool.target_reach import TargetReach
from marjoramspool.targets import Targets

__all__ = ["Routing"]

MAX_ATTEMPTS = 4
# A request under which this many targets ended is not sent to another.
MAX_ENDED_TARGETS = 2
MAX_HOLDERS = 3
# Targets may give such an answer without having read the request.
MIN_SERVER_ERROR_STATUS = 500
BYTES_PER_TOKEN = 4
OUTCOME_RETRY_DELAYS_S = (0.1, 0.2, 0.4)
DEFAULT_RETRY_AFTER_S = 1.0
FINISH_TIMEOUT_S = 5.0
NO_USABLE_TARGET = Problem(
    503, "no target of the service is usable", "send it again", DEFAULT_RETRY_AFTER_S
)
DEADLINE_PASSED = Problem(504, "the deadline passed", "send it again", DEFAULT_RETRY_AFTER_S)


@dataclass(slots=True, frozen=True)
class Claim:
    """Claimed idempotency key and the only attempt that may run under it."""

    key: str
    attempt: str


@dataclass(slots=True)
class AttemptHistory:
    """Attempts of one request so far: the targets to exclude and the latest problem."""

    failed_attempts: int = 0
    # Targets that ended while they had this request.
    ended_targets: int = 0
    sent_at: float = 0.0
    excluded_targets: list[str] = field(default_factory=list)
    # Other routers that this request was sent to.
    tried_peers: set[str] = field(default_factory=set)
    may_have_run: bool = False
    problem: Problem = NO_USABLE_TARGET


class Routing:
    """Request handling with complete answers; each failure states whether the request ran."""

    __slots__ = (
        "admission_controller",
        "background_tasks",
        "claims",
        "dispatchers",
        "failures",
        "metrics",
        "peer_routing",
        "poison",
        "reach",
        "retry_budgets",
        "targets",
        "traces",
    )

    def __init__(
        self,
        admission_controller: AdmissionController,
        claims: Claims,
        targets: Targets,
        poison: PoisonDetector,
        dispatchers: dict[str, Dispatcher],
        traces: Traces,
        metrics: Metrics,
        reach: TargetReach,
        failures: TargetFailures,
        peer_routing: PeerRouting,
    ):
        self.admission_controller = admission_controller
        self.claims = claims
        self.targets = targets
        self.poison = poison
        self.dispatchers = dispatchers
        self.traces = traces
        self.metrics = metrics
        self.reach = reach
        self.failures = failures
        self.peer_routing = peer_routing
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.background_tasks: set[asyncio.Task] = set()

    @asynccontextmanager
    async def serve(self, request: Request) -> AsyncIterator[Answer | NotRun | Unknown]:
        """Serve a request; yield its answer, or a problem that states whether it may have run."""
        trace = self.traces.start(request.id, request.document.name, request.account.name)
        async with AsyncExitStack() as stack:
            if request.key is None or request.is_forwarded:
                outcome = await self.run_attempts(request, trace, stack)
            else:
                outcome = await self.serve_claimed(request, trace, stack)
            if not isinstance(outcome, Answer):
                trace.outcome = outcome.tag
                trace.add_step("gave up", why=outcome.problem.title)
            yield outcome

    async def serve_claimed(
        self, request: Request, trace: Trace, stack: AsyncExitStack
    ) -> Answer | NotRun | Unknown:
        """Serve a request with an idempotency key: claim the key, then run it at most once."""
        claim = Claim(
            ledger.claim_key(request.document.name, request.account.name, request.key),
            uuid.uuid4().hex,
        )
        result = await self.commit_claim(
            ledger.Take(claim.key, request_hash(request), claim.attempt)
        )
        trace.add_step("claim", result=type(result).__name__)
        self.metrics.count(f"claim.{type(result).__name__.lower()}")
        match result:
            case ledger.Granted():
                # If the caller disconnects, the run must still go on: its retry will ask for the
                # outcome.
                return await asyncio.shield(
                    self.start_background(self.run_claimed(request, trace, claim))
                )
            case ledger.Repeated(status, answer, content_type, is_kept):
                return (
                    replayed_answer(status, answer, content_type)
                    if is_kept
                    else answer_not_kept(status)
                )
            case ledger.Mismatch():
                title = "the key was used with another request"
                return NotRun(Problem(422, title, "use a new key"))
            case ledger.Claimed():
                remedy = "ask again later with the same key; it will not run twice"
                title = "an earlier attempt with this key has no recorded outcome"
                return Unknown(Problem(409, title, remedy, DEFAULT_RETRY_AFTER_S))
            case ledger.Unsettled(why):
                self.claims.release_in_background(claim.key, claim.attempt)
                title = f"the key could not be claimed: {why}"
                return NotRun(
                    Problem(503, title, "send it again with the same key", DEFAULT_RETRY_AFTER_S)
                )

    async def commit_claim(self, operation: ledger.Take) -> ledger.Result:
        """Claim a key; retry shortly if the outcome of an earlier attempt is not recorded yet."""
        result = await self.claims.commit(operation)
        for delay_s in OUTCOME_RETRY_DELAYS_S:
            if not isinstance(result, ledger.Claimed):
                break
            await asyncio.sleep(delay_s)
            result = await self.claims.commit(operation)
        return result

    async def run_claimed(
        self, request: Request, trace: Trace, claim: Claim
    ) -> Answer | NotRun | Unknown:
        """Run the attempt that holds a claim, and record its outcome."""
        async with AsyncExitStack() as stack:
            outcome = await self.run_attempts(request, trace, stack)
            if isinstance(outcome, Answer):
                try:
                    body = b"".join([part async for part in outcome.parts])
                except BrokenAnswerError as error:
                    return Unknown(Problem(502, str(error), remedy_unknown(request)))
                outcome = replace(outcome, parts=single_part(body), length=len(body))
                self.claims.commit_in_background(completion_record(claim, outcome, body))
            elif isinstance(outcome, NotRun):
                self.claims.commit_in_background(ledger.Release(claim.key, claim.attempt))
                self.claims.release_in_background(claim.key, claim.attempt)
            return outcome

    def start_background(self, work: Coroutine) -> asyncio.Task:
        """Start work in the background; a graceful shutdown waits for it."""
        task = asyncio.create_task(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
        return task

    async def run_attempts(
        self, request: Request, trace: Trace, stack: AsyncExitStack
    ) -> Answer | NotRun | Unknown:
        """Attempt targets until one answers; on failure return whether the request may have run."""
        self.retry_budget(request).record_request()
        history = AttemptHistory()
        while history.failed_attempts < MAX_ATTEMPTS:
            if quarantine := self.poison.find_quarantine(request.parts):
                history.problem = quarantine_problem(quarantine)
                break
            async with AsyncExitStack() as attempt_stack:
                result = await self.run_next_attempt(request, history, trace, attempt_stack)
                if isinstance(result, Answer):
                    stack.push_async_exit(attempt_stack.pop_all())
                    return result
            if result is None:
                break
            if isinstance(result, Problem):
                history.problem = result
                break
            if not self.handle_failed_attempt(request, history, result):
                break
            history.failed_attempts += 1
        return Unknown(history.problem) if history.may_have_run else NotRun(history.problem)

    async def run_next_attempt(
        self, request: Request, history: AttemptHistory, trace: Trace, stack: AsyncExitStack
    ) -> Answer | Problem | AttemptError | None:
        """Make one attempt, through another router while targets are out of reach here.

        Return None if there is none to make.
        """
        if request.deadline <= time.monotonic():
            history.problem = DEADLINE_PASSED
            return None
        path = self.reach.path(request.document.name)
        if path is not Path.FULL and not request.is_forwarded:
            result = await self.peer_routing.send(request, path, history.tried_peers, trace, stack)
            if result is not None:
                return result
        if path is Path.NONE and history.excluded_targets:
            # One attempt without another router shows whether the path is back.
            return None
        admission_request = self.admission_request(request, history)
        if admission_request is None:
            return None
        return await self.run_attempt(request, admission_request, history, trace, stack)

    def handle_failed_attempt(
        self, request: Request, history: AttemptHistory, error: AttemptError
    ) -> bool:
        """Record the problem of a failed attempt; return whether the request may be sent again."""
        budget = self.retry_budget(request)
        match error:
            case NotSentError():
                history.problem = Problem(503, str(error), "send it again", DEFAULT_RETRY_AFTER_S)
                return True
            case PeerRefusedError(problem=problem):
                history.problem = problem
                return False
            case PeerFailedError(problem=problem):
                history.may_have_run = True
                history.problem = problem
                return False
            case NoPathError():
                return True
            case TargetRefusedError():
                history.problem = Problem(503, str(error), "send it again", DEFAULT_RETRY_AFTER_S)
                return budget.try_consume()
            case _:
                history.may_have_run = True
                remedy = remedy_unknown(request)
                history.problem = Problem(502, str(error), remedy, DEFAULT_RETRY_AFTER_S)
                return (
                    request.is_retryable
                    and history.ended_targets < MAX_ENDED_TARGETS
                    and budget.try_consume()
                )

    async def run_attempt(
        self,
        request: Request,
        admission_request: AdmissionRequest,
        history: AttemptHistory,
        trace: Trace,
        stack: AsyncExitStack,
    ) -> Answer | Problem | AttemptError:
        """Admit and send one attempt; the stack releases its grant and its connection."""
        decision = await stack.enter_async_context(
            self.admission_controller.admitted(admission_request)
        )
        if isinstance(decision, Refused):
            self.metrics.count("refused")
            trace.add_step("refused", reason=decision.reason, retry_after_s=decision.retry_after_s)
            remedy = "send it again after the Retry-After delay"
            return Problem(503, decision.reason, remedy, decision.retry_after_s)
        history.excluded_targets.append(decision.engine)
        target = request.document.targets.get(decision.engine)
        if target is None:
            return NotSentError(f"target {decision.engine} is not in this router's document")
        trace.add_step("admitted", target=decision.engine, why=decision.why, owner=decision.owner)
        self.metrics.count(f"placed.{decision.why}")
        history.sent_at = now()
        try:
            answer = await stack.enter_async_context(self.open(request, target, decision, history))
        except AttemptError as error:
            if not isinstance(error, TargetRefusedError):
                await self.reach.confirm(request.document.name)
            await self.record_failure(request, target, history, trace, error)
            if isinstance(error, MayHaveRunError):
                await self.record_if_ended(request, target, decision, history)
            return error
        if answer.status < MIN_SERVER_ERROR_STATUS:
            answer.parts = self.confirm_answer(request, answer.parts)
        trace.add_step("answer begun", target=target.name, status=answer.status)
        answer.holders = updated_holders(decision, request.holders)
        return answer

    async def record_if_ended(
        self, request: Request, target: Target, grant: Grant, history: AttemptHistory
    ) -> None:
        """Record the end of a target that had a request and has not answered it, if it ended."""
        if not await is_refusing_connections(target.address):
            return
        if await self.reach.is_behind_cut(request.document.name, target):
            return
        history.ended_targets += 1
        log(Event.ENGINE_ENDED, request=request.id, engine=target.name)
        incarnation = hashing.digest(f"{target.address}/{grant.incarnation}")
        self.poison.record_end(incarnation, history.sent_at, request.parts)

    async def confirm_answer(
        self, request: Request, parts: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Yield an answer; record at its end that a target answered the request."""
        async for part in parts:
            yield part
        self.poison.record_answer(request.parts)

    def open(
        self, request: Request, target: Target, grant: Grant, history: AttemptHistory
    ) -> AbstractAsyncContextManager[Answer]:
        """Send one attempt under a unique id."""
        if history.failed_attempts:
            self.metrics.count("retry")
        # Two callers may send the same request id, but the ids of attempts must differ.
        attempt = f"{request.id}.{uuid.uuid4().hex[:12]}.{history.failed_attempts}"
        # A reused connection may break while the request is written, so that it is unknown
        # whether the request ran; requests that may not be retried use a new connection.
        reuse = history.failed_attempts == 0 and request.is_retryable
        dispatcher = self.dispatchers[request.document.kind]
        return dispatcher.open(request, target, attempt, reuse, grant.incarnation)

    async def record_failure(
        self,
        request: Request,
        target: Target,
        history: AttemptHistory,
        trace: Trace,
        error: AttemptError,
    ) -> None:
        """Record a failed attempt, and the failure of its target if no byte was sent.

        A target is not excluded for a silent connection, as it answers on new ones.
        """
        if isinstance(error, NotSentError):
            await self.failures.record(request.document.name, target)
        if isinstance(error, SilentConnectionError):
            history.excluded_targets.remove(target.name)
        trace.add_step("attempt failed", target=target.name, why=str(error))
        why, detail = str(error), error.detail
        log(Event.ATTEMPT_FAILED, request=request.id, target=target.name, why=why, detail=detail)

    def admission_request(
        self, request: Request, history: AttemptHistory
    ) -> AdmissionRequest | None:
        """Return the request to the cell owner; None if no target is usable or time is up."""
        remaining_s = request.deadline - time.monotonic()
        if remaining_s <= 0:
            history.problem = DEADLINE_PASSED
            return None
        document = request.document
        chat = request.chat if request.chat is not None else hashing.digest(request.id)
        # The owner of a cell cannot know what is out of reach here.
        excluded = self.targets.out_of_reach(document) | set(history.excluded_targets)

        def usable(names: tuple[str, ...]) -> set[str]:
            return self.targets.usable(document, names) - excluded

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
            exclude=tuple(excluded),
            queue_wait_s=min(document.queue_wait_s, remaining_s),
            holder_wait_s=holder_wait_s(request),
            is_first_turn=request.is_first_turn or request.chat is None,
        )

    def retry_budget(self, request: Request) -> RetryBudget:
        """Return the retry budget of a service."""
        name = request.document.name
        if name not in self.retry_budgets:
            self.retry_budgets[name] = RetryBudget(request.document.retry_budget)
        budget = self.retry_budgets[name]
        budget.fraction = request.document.retry_budget
        return budget

    async def wait_until_recorded(self) -> None:
        """Wait until running claimed requests have finished and their outcomes are recorded."""
        while self.background_tasks:
            await asyncio.wait(list(self.background_tasks))
        await self.claims.wait_for_background_tasks(FINISH_TIMEOUT_S)


def quarantine_problem(quarantine: Quarantine) -> Problem:
    """Return the problem of a request with contents under which targets end."""
    title = f"targets of the service end under a part of the request, {quarantine.part:x}"
    remedy = "send it without that part, or after the Retry-After delay"
    return Problem(503, title, remedy, quarantine.retry_after_s(now()))


def request_hash(request: Request) -> str:
    """Return a hash of method, path and body; a key may not be reused with another one."""
    head = f"{request.method} {request.path}\0".encode()
    return hashing.long_digest(head + request.body)


def completion_record(claim: Claim, answer: Answer, body: bytes) -> ledger.Finish:
    """Return the record of a completed attempt; the answer is kept only if it is short text."""
    content_type = answer.headers.get("Content-Type", "")
    try:
        text = body.decode()
    except UnicodeDecodeError:
        return ledger.Finish(claim.key, claim.attempt, answer.status, "", content_type, False)
    is_kept = len(body) <= ledger.MAX_STORED_ANSWER_BYTES
    recorded_text = text if is_kept else ""
    return ledger.Finish(
        claim.key, claim.attempt, answer.status, recorded_text, content_type, is_kept
    )


def replayed_answer(status: int, answer: str, content_type: str) -> Answer:
    """Return the recorded answer of an earlier attempt."""
    body = answer.encode()
    headers = {"Content-Type": content_type} if content_type else {}
    headers["Marjoramspool-Replayed"] = "true"
    return Answer(status, headers, single_part(body), len(body))


def answer_not_kept(status: int) -> Unknown:
    """Return the outcome of a retry whose recorded answer was too long to keep."""
    title = f"the request ran once with status {status}; its answer was too long to keep"
    return Unknown(Problem(409, title, "read the result at the service; do not send it again"))


def holder_wait_s(request: Request) -> float:
    """Return the time to wait for a holder: at most the time to prefill the request again."""
    if request.urgency <= URGENT_THRESHOLD:
        return 0.0
    document = request.document
    tokens = len(request.body) / BYTES_PER_TOKEN
    return min(document.holder_wait_s, tokens / document.prefill_tokens_per_s)


def remedy_unknown(request: Request) -> str:
    """Return the advice to the caller of a request that may have run."""
    if request.key:
        return "it will not run again; check at the service whether it ran"
    if request.is_non_idempotent:
        return "check at the service whether it ran before you send it again"
    return "send it again"


def updated_holders(grant: Grant, holders: tuple[Holder, ...]) -> tuple[Holder, ...]:
    """Return the engines that hold a chat's prefix after a grant, the latest first."""
    others = tuple(holder for holder in holders if holder.engine != grant.engine)
    return (Holder(grant.engine, grant.incarnation), *others)[:MAX_HOLDERS]
