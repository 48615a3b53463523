"""Decoder of the registrations that engines write to the store."""

import msgspec

from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.events import Event, log
from marjoramspool.platform.cold_times import read_cold_time
from marjoramspool.untrusted_json import decode_json

__all__ = ["decode_engine"]

STATES = ("ready", "draining")


class EntryFields(msgspec.Struct, frozen=True):
    """Registration of an engine."""

    service: str
    address: str
    state: str
    slots: int
    zone: str = ""
    # Start time in Unix milliseconds; it distinguishes restarts under the same id.
    born: int = 0
    # Version of the engine's software; that of its model's weights is in other fields.
    version: str = ""
    # How long the engine is still cold; of any type, so that a malformed one loses nothing else.
    cold_remaining_ms: object = None


def decode_engine(name: str, *payloads: msgspec.Raw) -> Engine | None:
    """Return the engine that the first valid payload registers, or None if all are invalid.

    Other writers may have put malformed objects in the store; they are logged and ignored.
    """
    reason: Exception | None = None
    for payload in payloads:
        try:
            fields = decode_json(payload, EntryFields)
        except msgspec.MsgspecError as error:
            reason = reason or error
            continue
        host, _, port = fields.address.rpartition(":")
        if fields.state not in STATES or not host or not port.isdigit():
            reason = ValueError(f"invalid state {fields.state!r} or address {fields.address!r}")
            continue
        return Engine(
            id=name,
            service=fields.service,
            address=fields.address,
            failure_domain=fields.zone,
            slots=fields.slots,
            is_draining=fields.state == "draining",
            started_ms=fields.born,
            version=fields.version,
            cold_remaining_s=read_cold_time(name, fields.cold_remaining_ms),
        )
    log(Event.REGISTRATION_UNREADABLE, engine=name, fault=str(reason))
    return None
