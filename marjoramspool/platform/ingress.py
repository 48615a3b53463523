"""Server side of the router: decodes client requests and encodes the answers to them."""

from contextlib import AsyncExitStack

from aiohttp import web

from marjoramspool.admission.client_budget import ClientBudget
from marjoramspool.admission.drain_admission import STOPPING, Kind
from marjoramspool.answer_bodies import AnswerMemory
from marjoramspool.attempts import StreamAnswer, WholeAnswer
from marjoramspool.client_rejections import RejectedError, check_header_size
from marjoramspool.client_server import ClientServer
from marjoramspool.clock import now
from marjoramspool.forwarding import Forwarding
from marjoramspool.outcomes import NotRun, Problem
from marjoramspool.platform.headers import (
    filter_request_headers,
    parse_first_request,
    parse_last_event,
    parse_prompt,
)
from marjoramspool.requests import RoutedRequest
from marjoramspool.routes import ClientAccount, RouteKind, RouteTable
from marjoramspool.startup_wait import StartupWait
from marjoramspool.store_replicas.route_table_watcher import RouteTableWatcher

__all__ = ["Ingress"]

MS = 1000.0
NO_TABLE_RETRY_AFTER_S = 1.0
# Timeout assumed for a client that sends no deadline, while no route table is known.
DEFAULT_CLIENT_TIMEOUT_S = 3.0


class Ingress(ClientServer):
    """Server for clients of the platform."""

    __slots__ = ("forwarding", "startup_wait", "table_watcher")

    def __init__(
        self,
        forwarding: Forwarding,
        table_watcher: RouteTableWatcher,
        startup_wait: StartupWait,
        budget: ClientBudget,
        answer_memory: AnswerMemory,
    ):
        super().__init__(table_watcher.client_limits, budget, answer_memory)
        self.forwarding = forwarding
        self.table_watcher = table_watcher
        self.startup_wait = startup_wait

    def request_id(self, http_request: web.BaseRequest) -> str:
        """Return the id of a request, empty if it has none."""
        return http_request.headers.get("X-Request-Id", "")

    async def serve(self, http_request: web.BaseRequest, request_id: str) -> web.StreamResponse:
        """Validate a request, forward it and return its answer."""
        received = now()
        check_header_size(http_request, self.limits().header_bytes)
        await self.startup_wait.wait(client_timeout_s(http_request, DEFAULT_CLIENT_TIMEOUT_S))
        table = self.table_watcher.table
        if table is None:
            problem = Problem(
                503, "route table not loaded yet", "retry the request", NO_TABLE_RETRY_AFTER_S
            )
            return self.error_response(NotRun(problem), request_id)
        # What can be refused without the body is not kept until it is complete.
        request = route_request(http_request, request_id, table, received)
        http_request.protocol.reserve_request()
        body = await self.read_body(http_request)
        if self.table_watcher.table is not table:
            request = route_request(http_request, request_id, self.table_watcher.table, received)
        request.body = body
        kind = Kind(request.service, request.is_stream)
        if self.drain_admission.refuses(kind, request.remaining_s()):
            return self.error_response(NotRun(STOPPING), request_id)
        async with AsyncExitStack() as stack:
            measurement = stack.enter_context(self.drain_admission.durations.measured(kind))
            outcome = await stack.enter_async_context(self.forwarding.serve(request))
            measurement.is_answered = isinstance(outcome, StreamAnswer | WholeAnswer)
            match outcome:
                case StreamAnswer():
                    return await self.forward_stream(http_request, request, outcome)
                case WholeAnswer():
                    return await self.forward_answer(http_request, request, outcome)
                case _:
                    return self.error_response(outcome, request_id)


def route_request(
    http_request: web.BaseRequest, request_id: str, table: RouteTable, received: float
) -> RoutedRequest:
    """Return the request with its route and account, without its body; raise RejectedError."""
    host = http_request.headers.get("Host", "")
    route = table.match(host, http_request.raw_path.partition("?")[0])
    if route is None:
        raise RejectedError(404, f"no route of version {table.version} matches")
    account = authenticate(http_request, table, route.is_public)
    timeout_s = min(client_timeout_s(http_request, route.timeout_s), route.timeout_s)
    headers = http_request.headers
    is_stream = route.kind is RouteKind.STREAMING
    after_event, first_request = parse_resumption(http_request) if is_stream else (None, None)
    return RoutedRequest(
        id=request_id,
        host=host,
        route=route,
        # A stream goes on at the service that its first request was drawn for.
        service=route.select_service(first_request or request_id),
        account=account,
        method=http_request.method,
        path=http_request.raw_path,
        headers=filter_request_headers(headers.items()),
        body=b"",
        received=received,
        deadline=received + timeout_s,
        prompt=parse_prompt(
            headers.get("X-Model"), headers.get("X-Token-Count"), headers.get("X-Prompt-Prefix")
        ),
        after_event=after_event,
        first_request=first_request,
    )


def parse_resumption(http_request: web.BaseRequest) -> tuple[int | None, str | None]:
    """Return the last event that a caller has, and the request that brought the first one.

    Both are None for a new stream; raise RejectedError if one is malformed.
    """
    headers = http_request.headers
    try:
        return (
            parse_last_event(headers.get("Last-Event-Id")),
            parse_first_request(headers.getall("Resumes", [])),
        )
    except ValueError as error:
        raise RejectedError(400, str(error)) from error


def authenticate(
    http_request: web.BaseRequest, table: RouteTable, is_public: bool
) -> ClientAccount | None:
    """Return the client account of the API key.

    Return None if the table has no accounts, or the key is unknown and the route public; raise
    RejectedError if the key is unknown on another route.
    """
    if table.accounts is None:
        return None
    account = table.accounts.get(http_request.headers.get("Api-Key", ""))
    if account is None and not is_public:
        raise RejectedError(401, f"no account of version {table.version} has the key")
    return account


def client_timeout_s(http_request: web.BaseRequest, default_s: float) -> float:
    """Return the timeout that a client sent, `default_s` if it sent none or a malformed one."""
    try:
        return max(0.0, float(http_request.headers["X-Request-Deadline-Ms"]) / MS)
    except (KeyError, ValueError):
        return default_s
