"""HTTP server for operators: liveness, readiness, status and request traces."""

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from marjoramspool.client_listener import PAGE_CONNECTIONS, serve_application
from marjoramspool.engine_state.poison_parts import describe_quarantines
from marjoramspool.routers import peers_pb2 as pb
from marjoramspool.status import CellStatus, ControlStatus, MemberStatus, Status

if TYPE_CHECKING:
    from marjoramspool.router import Router

__all__ = ["OperatorsServer", "build_status"]

EXPLAIN_TIMEOUT_S = 1.0
GROUP = "operators"
JSON_TYPE = "application/json"


class OperatorsServer:
    """HTTP server for operators."""

    __slots__ = ("router", "stack")

    def __init__(self, router: "Router"):
        self.router = router
        self.stack = AsyncExitStack()

    async def start(self, host: str, port: int) -> None:
        """Listen for operators."""
        app = web.Application()
        app.router.add_get("/livez", self.router.callers.livez)
        app.router.add_get("/readyz", self.router.callers.readyz)
        app.router.add_get("/status", self.status)
        app.router.add_get("/explain/{request}", self.explain)
        await self.stack.enter_async_context(
            serve_application(app, self.router.budget, GROUP, PAGE_CONNECTIONS, (host, port))
        )

    async def close(self) -> None:
        """Stop listening."""
        await self.stack.aclose()

    async def status(self, _: web.Request) -> web.Response:
        """Respond with the status of this router."""
        body = msgspec.json.encode(build_status(self.router))
        return web.Response(body=body, content_type=JSON_TYPE)

    async def explain(self, request: web.Request) -> web.Response:
        """Respond with the trace of a recent request, from another router if it served it."""
        request_id = request.match_info["request"]
        trace = await self.router.explain(request_id) or await self.fetch_trace_from_peers(
            request_id
        )
        if not trace:
            return web.Response(status=404, text="no router has a trace of this request\n")
        return web.Response(body=trace, content_type=JSON_TYPE)

    async def fetch_trace_from_peers(self, request_id: str) -> bytes:
        """Return the trace of a request from the other routers, empty if none has it."""
        message = pb.ExplainRequest(request=request_id)
        calls = [
            self.router.links.call(member.address, "Explain", message, EXPLAIN_TIMEOUT_S)
            for member in self.router.membership.live_peers()
        ]
        for reply in await asyncio.gather(*calls):
            if reply is not None and reply.trace:
                return reply.trace
        return b""


def build_status(router: "Router") -> Status:
    """Return the status of a router."""
    members = [
        MemberStatus(m.name, m.address, m.operators, m.domain, m.state.name.lower())
        for m in [router.membership.local_member, *router.membership.members.values()]
    ]
    return Status(
        router=router.settings.name,
        domain=router.settings.failure_domain,
        is_ready=router.configuration.is_complete and not router.callers.is_draining,
        is_draining=router.callers.is_draining,
        in_flight=router.callers.in_flight,
        versions=router.configuration.versions(),
        faults=router.configuration.faults | describe_quarantines(router.poison),
        members=members,
        owned={
            name: cell_status(router, name) for name in router.admission_controller.owned_cells()
        },
        leaving=sorted(a for a in router.targets.states if router.targets.is_draining(a)),
        control=ControlStatus(
            router.links.total_bytes() + router.servicer.bytes,
            router.platform.bytes,
            router.engines.load_report_bytes,
            router.platform.calls,
        ),
        counts=dict(router.metrics.counts),
        leases=router.orders.held_fencing_numbers(),
    )


def cell_status(router: "Router", name: str) -> CellStatus:
    """Return the load of a cell that the router owns."""
    cell = router.admission_controller.cell(name)
    loads = {engine.name: cell.loads[engine.name] for engine in cell.usable_engines()}
    return CellStatus(loads, len(cell.waiting))
