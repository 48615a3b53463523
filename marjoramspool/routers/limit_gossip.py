"""Gossip of the rate limits that targets name."""

from collections.abc import Iterable

from marjoramspool.engine_state.request_limits import MILLI, LimitNotice, RequestLimits
from marjoramspool.routers import peers_pb2 as pb
from marjoramspool.targets import limit_key

__all__ = ["apply_limits", "encode_limits"]

MS = 1000.0


def encode_limits(limits: RequestLimits) -> list[pb.RateLimit]:
    """Return the limits that this router knows of, and those that ended recently."""
    now_s = limits.clock()
    return [
        pb.RateLimit(
            target=address,
            milli_per_s=None if (per_s := notice.requests_per_s) is None else round(per_s * MILLI),
            age_ms=round((now_s - notice.observed_at) * MS),
        )
        for (address, _), notice in limits.recent_notices().items()
    ]


def apply_limits(limits: RequestLimits, messages: Iterable[pb.RateLimit]) -> None:
    """Apply what another router knows of limits."""
    now_s = limits.clock()
    for message in messages:
        per_s = message.milli_per_s / MILLI if message.HasField("milli_per_s") else None
        notice = LimitNotice(per_s, now_s - message.age_ms / MS)
        limits.record_report(limit_key(message.target), notice)
