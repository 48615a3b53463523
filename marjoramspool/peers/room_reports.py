"""Reports of the bounds on requests in brittle engines."""

from collections.abc import Iterator

from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engine_state.engine_room import Bound, EngineRoom
from marjoramspool.engine_state.request_limits import MILLI
from marjoramspool.peers.messages import RoomReport, incarnation_id

__all__ = ["apply_room_report", "report_rooms"]

MS = 1000.0


def report_rooms(room: EngineRoom) -> Iterator[RoomReport]:
    """Yield the bounds that this router has tightened recently."""
    now_s = room.clock()
    for key, bound in room.reported():
        age_ms = round((now_s - bound.set_at) * MS)
        yield RoomReport(incarnation_id(*key), round(bound.requests * MILLI), age_ms)


def apply_room_report(room: EngineRoom, engine: Engine, report: RoomReport) -> None:
    """Apply a bound that another router has tightened."""
    set_at = room.clock() - report.age_ms / MS
    room.record_report(engine, Bound(report.milli / MILLI, set_at))
