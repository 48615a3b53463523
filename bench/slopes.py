"""Growth of state, messages and processor time with the size of fleets and documents."""

import asyncio
import contextlib
import os
import time
import tracemalloc
from dataclasses import dataclass

import grpc
import msgspec

from bench.documents import model_document
from bench.fleet import Fleet
from bench.placement import measure_interval
from bench.ports import free_ports
from bench.readings import SocketBytes, memory_bytes
from marjoramspool import hashing
from marjoramspool.admission.admission_messages import AdmissionRequest, EngineView
from marjoramspool.admission.cell import Cell
from marjoramspool.clock import now
from marjoramspool.configuration import Configuration, encode_body
from marjoramspool.engine_state.engine_list import Engine, EngineList
from marjoramspool.ledger import Finish, Shard, Take, apply_operation
from marjoramspool.membership import Member, Membership
from marjoramspool.operators.client import OperatorClient
from marjoramspool.placement.bounded_placement import BoundedLoad, Holder
from marjoramspool.placement.engine_selector import EngineSelector
from marjoramspool.placement.ranking import Rankings
from marjoramspool.prompts import Part, Prompt
from marjoramspool.requests import RoutedRequest
from marjoramspool.routers import peers_pb2 as pb
from marjoramspool.routers import peers_pb2_grpc as rpc
from marjoramspool.routers.link import Link, channel_options
from marjoramspool.routers.server import RoutersServer, start_server
from marjoramspool.routes import EngineCapacity, Route, RouteKind, RouteTable, Service
from marjoramspool.targets import Targets

__all__ = [
    "measure_admission_slopes",
    "measure_link_kilobytes",
    "measure_fleet_sizes",
    "measure_local_slopes",
]

DEFAULT_REPEATS = 2000
IDLE_S = 10.0
JOIN_S_PER_ROUTER = 1.2


@dataclass(slots=True)
class FleetSize:
    """Mean resources of a router in an idle fleet; bytes and cores are per second."""

    routers: int
    control_bytes: float
    cores: float
    memory_mb: float


async def measure_fleet_sizes(sizes: tuple[int, ...]) -> list[FleetSize]:
    """Measure idle fleets of several sizes."""
    return [await measure_fleet(size) for size in sizes]


async def measure_fleet(size: int) -> FleetSize:
    """Measure one idle fleet, with one service whose engine does not exist."""
    async with Fleet() as fleet:
        await fleet.standin("platform", "platform")
        for number in range(size):
            await fleet.router(f"router-{number}", f"domain-{number % 4}")
        async with OperatorClient(f"127.0.0.1:{fleet.platform}") as operator:
            await operator.apply(model_document("grip-model", [1]), "bench", None)
        await fleet.wait_ready()
        # Gossip updates about each router that joined are sent with probes for some time.
        await asyncio.sleep(6.0 + JOIN_S_PER_ROUTER * size)
        counter = SocketBytes()
        pids = [router.popen.pid for router in fleet.routers]
        interval = await measure_interval(fleet, counter, pids, asyncio.sleep(IDLE_S))
        memory = sum(memory_bytes(pid) for pid in pids) / len(pids) / 1e6
    return FleetSize(size, sum(interval.control) / size, sum(interval.cpu) / size, memory)


def microseconds(work, repeats: int = DEFAULT_REPEATS) -> float:
    """Return the mean processor time of one call, in microseconds."""
    started = time.process_time()
    for number in range(repeats):
        work(number)
    return (time.process_time() - started) / repeats * 1e6


def retained_bytes(build) -> int:
    """Return the bytes that a built object retains."""
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def placement_us(engines: int) -> float:
    """Return the time of one placement and its release in a cell, in microseconds."""
    views = [EngineView(f"engine-{n}", 1, 64) for n in range(engines)]
    cell = Cell(BoundedLoad(1.25), 0.2, lambda: views)

    def place(number: int) -> None:
        holder = (Holder(f"engine-{number % engines}", 1),)
        request = AdmissionRequest(
            "s/0", hashing.digest(str(number)), holder, "crews", 1, 3, (), 1.0
        )
        granted = cell.grant_now(request, "r1")
        if number >= 8 * engines:
            cell.release("r1", granted.engine, "crews")

    return microseconds(place)


def document_of(engines: int, accounts: int) -> str:
    """Return a document with these numbers of engines and accounts."""
    names = {f"account-{n}": 1 for n in range(accounts)}
    return model_document("big", list(range(1, engines + 1)), names)


def configuration_of(engines: int, accounts: int) -> Configuration:
    """Return a configuration that holds one document of this size."""
    configuration = Configuration()
    body = encode_body(document_of(engines, accounts), []).encode()
    configuration.apply_if_newer("big", 1, body, "bench")
    return configuration


def membership_of(count: int) -> Membership:
    """Return a membership of this many routers and the local one."""
    membership = Membership(Member("me", "127.0.0.1:1", "domain", "127.0.0.1:2", 1))
    for number in range(count):
        name = f"router-{number:04}"
        membership.merge(Member(name, f"10.0.0.1:{number}", "domain-1", f"10.0.0.1:{number}", 1))
    return membership


async def measure_link_kilobytes(count: int = 100) -> float:
    """Return the memory of one open link to a peer, both ends in this process, in kilobytes."""
    (port,) = free_ports(1)
    server = await start_server(rpc.RoutersServicer(), f"127.0.0.1:{port}", None)
    before = memory_bytes(os.getpid())
    links = [
        Link("me", grpc.aio.insecure_channel(f"127.0.0.1:{port}", channel_options()))
        for _ in range(count)
    ]
    for link in links:
        with contextlib.suppress(grpc.RpcError):
            await link.stub.Fetch(pb.FetchRequest(), timeout=5)
    spent = memory_bytes(os.getpid()) - before
    for link in links:
        await link.close()
    await server.stop(0)
    return spent / count / 1e3


class SingleCellController:
    """Stub of the admission controller of an owner that has one cell."""

    def __init__(self):
        views = [EngineView(f"engine-{n}", 1, 64) for n in range(8)]
        self.only = Cell(BoundedLoad(1.25), 0.2, lambda: views)
        self.configuration = configuration_of(8, 10)

    def cell(self, name: str) -> Cell:
        """Return the cell."""
        return self.only

    def remove_session(self, router: str) -> None:
        """Remove the grants held by a router."""
        self.only.remove_session(router)


async def measure_admission_slopes(count: int = 2000) -> dict[str, float]:
    """Return the cost of one admission request, grant and release to both ends together."""
    (port,) = free_ports(1)
    servicer = RoutersServer(SingleCellController(), None, None, None, None)
    server = await start_server(servicer, f"127.0.0.1:{port}", None)
    link = Link("me", grpc.aio.insecure_channel(f"127.0.0.1:{port}", channel_options()))
    request = AdmissionRequest("big/0", 1, (Holder("engine-1", 1),), "crews", 1, 3, (), 1.0)
    await link.request_admission(request, 5.0)
    started, wall = time.process_time(), time.monotonic()
    for _ in range(count):
        granted = await link.request_admission(request, 5.0)
        link.release(request.cell, granted.engine, request.account)
    spent, elapsed = time.process_time() - started, time.monotonic() - wall
    await link.close()
    await server.stop(0)
    return {
        "ask_both_ends_us": spent / count * 1e6,
        "ask_round_trip_us": elapsed / count * 1e6,
        "ask_payload_bytes": link.bytes / count,
    }


def measure_ledger_slopes() -> dict[str, float]:
    """Return the time and bytes of one claim and its outcome record in a shard."""
    shard = Shard()

    def claim(number: int) -> None:
        key = f"{number:032x}"
        apply_operation(shard, {}, Take(key, "b" * 32, f"{number:032x}"), 1e9)
        apply_operation(
            shard, {}, Finish(key, f"{number:032x}", 200, "x" * 100, "application/json"), 1e9
        )

    spent = microseconds(claim, 400)
    encoded = msgspec.json.encode(shard)
    started = time.process_time()
    for _ in range(100):
        msgspec.json.encode(shard)
    encode_us = (time.process_time() - started) / 100 * 1e6
    return {
        "claim_us": spent,
        "entry_bytes": len(encoded) / len(shard.entries),
        "encode_us_of_400_entries": encode_us,
    }


def measure_local_slopes() -> dict[str, float]:
    """Run the measurements that need no other processes."""
    small, large = configuration_of(10, 10), configuration_of(300, 100)
    document = large.document("big")
    targets = Targets()
    members = membership_of(1300)
    rankings = Rankings()
    rankings.update(set(members.members))
    for key in range(760):
        rankings.top_names(key)
    slopes = {
        "member_change_ms_760_cells": microseconds(
            lambda n: rankings.update(set(members.members) - {f"router-{n:04}"}), 20
        )
        / 1e3,
        "place_us_5_engines": placement_us(5),
        "place_us_8_engines": placement_us(8),
        "place_us_16_engines": placement_us(16),
        "usable_us_300_engines": microseconds(
            lambda _: targets.usable(document, document.targets), 200
        ),
        "check_document_ms_300_engines_100_accounts": microseconds(
            lambda n: configuration_of(300, 100), 10
        )
        / 1e3,
        "document_kb_300_engines_100_accounts": retained_bytes(lambda: configuration_of(300, 100))
        / 1e3,
        "document_kb_10_engines_10_accounts": retained_bytes(lambda: configuration_of(10, 10))
        / 1e3,
        "members_digest_us_1300": microseconds(lambda _: members.digest(), 50),
        "rank_us_1300": microseconds(lambda n: hashing.rank(n, members.members), 50),
        "member_bytes": retained_bytes(lambda: membership_of(1300)) / 1300,
        "versions_digest_us_23": microseconds(lambda _: small.versions_digest(), 200),
    }
    slopes |= {f"placement_us_{count}_engines": selection_us(count) for count in (10, 100, 1000)}
    return slopes | measure_ledger_slopes()


def selection_us(engine_count: int) -> float:
    """Return the time of a whole placement on the platform, in microseconds."""
    engines = EngineList()
    engines.replace_all(
        Engine(f"i-{n}", "s", f"1.1.1.1:{n}", "z", 64, False, 1) for n in range(engine_count)
    )
    table = RouteTable(1, services={"s": Service("s", EngineCapacity(64, 600_000))})
    selector = EngineSelector("z", engines, lambda: table)
    route = Route("r", "h", "/", RouteKind.STREAMING, (), 30.0, 1.0, 1, 2, False, True, 10.0)

    def place(number: int) -> None:
        parts = (Part(1, 500), Part(number % 97 + 2, 2000), Part(10**6 + number, 50))
        prompt = Prompt("m", 2550, 10, parts)
        deadline = now() + 30.0
        request = RoutedRequest(
            f"q{number}", route, "s", None, "POST", "/", [], b"", now(), deadline, prompt
        )
        with selector.place(request, set()):
            pass

    return microseconds(place, 500)
