"""Decoder of the registrations that engines write to the store."""

from typing import Literal

import msgspec

from marjoramspool.engine_state.engine_list import Engine
from marjoramspool.engine_state.registration_checks import find_fault
from marjoramspool.events import Event, log
from marjoramspool.platform.cold_times import read_cold_time
from marjoramspool.untrusted_json import decode_json

__all__ = ["decode_engine"]


class EntryFields(msgspec.Struct, frozen=True):
    """Registration of an engine, which has all of these fields."""

    service: str
    address: str
    state: Literal["ready", "draining"]
    slots: int
    zone: str
    # Version of the engine's software; that of its model's weights is in other fields.
    version: str
    # Counts the writes of one incarnation.
    sequence: int
    # Start time in Unix milliseconds; it distinguishes restarts under the same id.
    born: int
    cold_remaining_ms: int | float


def decode_engine(name: str, payload: msgspec.Raw) -> Engine | None:
    """Return the engine that a payload registers, or None if it registers none.

    Other writers may have put malformed objects in the store; they are logged and ignored.
    """
    try:
        fields = decode_json(payload, EntryFields)
    except msgspec.DecodeError as error:
        log(Event.REGISTRATION_UNREADABLE, engine=name, fault=str(error))
        return None
    engine = Engine(
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
    if fault := find_fault(engine):
        log(Event.REGISTRATION_UNREADABLE, engine=name, fault=fault)
        return None
    return engine
