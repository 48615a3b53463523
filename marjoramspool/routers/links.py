"""Client side of the calls between routers: one link for each peer in use."""

import asyncio
import time
from collections.abc import Callable

import grpc
import msgspec

from marjoramspool.admission.admission_control import OwnerNotReadyError, OwnerUnavailableError
from marjoramspool.admission.admission_messages import Admission, AdmissionRequest
from marjoramspool.ledger import Operation, Result
from marjoramspool.membership import Member
from marjoramspool.routers import peers_pb2 as pb
from marjoramspool.routers.convert import decode_result, encode_grants, encode_operation
from marjoramspool.routers.link import FRAME_OVERHEAD_BYTES, Link, channel_options

__all__ = ["Links"]

IDLE_LINK_TIMEOUT_S = 30.0


class Links:
    """Links to the peers in use; implements admission_control.OwnerClient."""

    __slots__ = (
        "address_of",
        "answer_timeout_s",
        "bytes",
        "closing_tasks",
        "credentials",
        "links",
        "local_grants_by_owner",
        "local_name",
    )

    def __init__(
        self,
        local_name: str,
        answer_timeout_s: float,
        address_of: Callable[[str], str | None],
        credentials: grpc.ChannelCredentials | None = None,
    ):
        self.local_name = local_name
        self.answer_timeout_s = answer_timeout_s
        self.address_of = address_of
        self.credentials = credentials
        self.links: dict[str, Link] = {}
        self.closing_tasks: set[asyncio.Task] = set()
        self.bytes = 0
        self.local_grants_by_owner: Callable[[], list[tuple[str, str, dict]]] = list

    async def __aenter__(self):
        return self

    async def __aexit__(self, *details):
        for address in list(self.links):
            self.close_link(address)
        await asyncio.gather(*self.closing_tasks, return_exceptions=True)

    def link(self, address: str) -> Link:
        """Return the link to an address, which is created at first use."""
        if address not in self.links:
            options = channel_options()
            if self.credentials:
                channel = grpc.aio.secure_channel(address, self.credentials, options)
            else:
                channel = grpc.aio.insecure_channel(address, options)
            self.links[address] = Link(
                self.local_name, channel, lambda: self.initial_grants(address)
            )
        return self.links[address]

    def initial_grants(self, address: str) -> list[pb.Holdings]:
        """Return the grants that a new session reports to its peer first."""
        return [
            encode_grants(cell, grants)
            for router, cell, grants in self.local_grants_by_owner()
            if self.address_of(router) == address
        ]

    def link_to_router(self, router: str) -> Link | None:
        """Return the link to a router, None if its address is not known."""
        address = self.address_of(router)
        return self.link(address) if address else None

    def close_link(self, address: str) -> None:
        """Close a link; the next use opens a new connection."""
        link = self.links.pop(address, None)
        if link is None:
            return
        self.bytes += link.bytes
        task = asyncio.create_task(link.close())
        self.closing_tasks.add(task)
        task.add_done_callback(self.closing_tasks.discard)

    def close_idle_links(self) -> None:
        """Close the links that were not used for `IDLE_LINK_TIMEOUT_S`."""
        oldest = time.monotonic() - IDLE_LINK_TIMEOUT_S
        for address, link in list(self.links.items()):
            if link.last_used < oldest and not link.pending:
                self.close_link(address)

    def total_bytes(self) -> int:
        """Return the bytes of all messages sent and received, framing included."""
        return self.bytes + sum(link.bytes for link in self.links.values())

    async def request_admission(self, owner: str, request: AdmissionRequest) -> Admission:
        """Request admission; raise OwnerUnavailableError if the owner does not answer in time."""
        address = self.address_of(owner)
        if address is None:
            raise OwnerUnavailableError(f"the address of {owner} is not known")
        try:
            return await self.link(address).request_admission(request, self.answer_timeout_s)
        except OwnerNotReadyError:
            raise
        except OwnerUnavailableError:
            # The connection may be broken although the host is up: the next call opens a new one.
            self.close_link(address)
            raise

    def release(self, owner: str, cell: str, engine: str, account: str) -> None:
        """Release one attempt."""
        link = self.links.get(self.address_of(owner))
        if link:
            link.release(cell, engine, account)

    def report_grants(self, owner: str, cell: str, grants: dict[tuple[str, str], int]) -> None:
        """Report to an owner all grants that this router holds in a cell."""
        link = self.link_to_router(owner)
        if link:
            link.report_grants(cell, grants)

    async def call(self, address: str, method: str, request, timeout_s: float):
        """Make one unary call; return None if it fails or times out."""
        link = self.link(address)
        link.last_used = time.monotonic()
        link.bytes += request.ByteSize() + FRAME_OVERHEAD_BYTES
        try:
            reply = await getattr(link.stub, method)(request, timeout=timeout_s)
        except grpc.RpcError:
            return None
        except asyncio.CancelledError:
            # gRPC raises this also if the channel is closed during the call.
            if asyncio.current_task().cancelling():
                raise
            return None
        link.bytes += reply.ByteSize() + FRAME_OVERHEAD_BYTES
        return reply

    async def claim(self, router: str, operation: Operation, timeout_s: float) -> Result | None:
        """Have a shard's preferred router commit an operation; return None without its result."""
        address = self.address_of(router)
        if address is None:
            return None
        # A slow platform delays the reply too, so a timeout does not show a broken connection.
        reply = await self.call(address, "Claim", encode_operation(operation, timeout_s), timeout_s)
        try:
            return decode_result(reply) if reply else None
        except (ValueError, msgspec.DecodeError):
            return None

    async def probe(self, address: str, request: pb.ProbeRequest, timeout_s: float):
        """Probe a router; close the link and return None if it does not answer."""
        reply = await self.call(address, "Probe", request, timeout_s)
        if reply is None:
            self.close_link(address)
        return reply

    async def probe_indirectly(self, helper: Member, member: Member, timeout_s: float) -> bool:
        """Have one router probe another; return whether the probe succeeded."""
        request = pb.ProbeForRequest(name=member.name, address=member.address)
        reply = await self.call(helper.address, "ProbeFor", request, timeout_s * 2)
        return bool(reply and reply.answered)
