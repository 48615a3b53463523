"""Numbered log events; docs/EVENTS.md is their catalogue."""

from enum import Enum

from logbook import Logger

__all__ = ["Event", "log"]

logger = Logger("marjoramspool")


class Event(Enum):
    """Name each log event with its number, its level and its meaning."""

    ROUTER_STARTED = (101, "info", "a router listens on its ports")
    ROUTER_DRAINING = (102, "info", "a router fails readiness and finishes what is in flight")
    ROUTER_STOPPED = (103, "info", "a router has closed all that it owned")
    TASK_FAILED = (104, "error", "a background task failed and is started again")
    DOCUMENT_ADOPTED = (201, "info", "a newer service document is in force")
    DOCUMENT_INVALID = (202, "error", "a stored document is invalid; the last good one stays")
    DOCUMENT_DELETED = (203, "warning", "a service document was deleted; the service is gone")
    ROUTES_ADOPTED = (204, "info", "a newer version of the routes is in force")
    ROUTES_INVALID = (205, "error", "a version of the routes is invalid; the last good one stays")
    SETTINGS_READ = (206, "info", "the settings were read again")
    SETTINGS_INVALID = (207, "error", "changed settings cannot be used; the last good ones stay")
    PLATFORM_OUT = (301, "warning", "the platform does not answer; soft state carries on")
    PLATFORM_BACK = (302, "info", "the platform answers again")
    PLATFORM_BUDGET = (303, "warning", "a platform call was refused by this router's own budget")
    MEMBER_ALIVE = (401, "info", "a router joined or came back")
    MEMBER_SUSPECT = (402, "info", "a router did not answer a probe")
    MEMBER_DEAD = (403, "warning", "a router is held to be dead")
    OWNER_SILENT = (404, "warning", "an admission owner did not answer in time")
    PEER_UNREADABLE = (405, "warning", "a message of another router could not be read")
    PEER_STATE_TAKEN = (406, "info", "another router's state was taken over")
    PEER_STATE_MISSED = (407, "warning", "another router's state could not be fetched")
    TARGET_LEAVING = (501, "info", "a target leaves and gets no new work")
    TARGET_RETURNED = (502, "info", "a target that was leaving takes work again")
    TARGET_EJECTED = (503, "warning", "a target refused new connections and is passed over")
    TARGET_RESTARTED = (504, "info", "a target has a new incarnation; its cache is lost")
    ENGINE_LISTED = (505, "info", "an engine registered or changed its state")
    ENGINE_UNLISTED = (506, "info", "an engine's registration is gone")
    ENGINE_SUSPECTED = (507, "warning", "an engine failed requests and is passed over for a while")
    CACHE_LISTED = (508, "info", "an engine was asked what its cache holds")
    REGISTRATION_UNREADABLE = (509, "warning", "a registration could not be read and is ignored")
    ATTEMPT_FAILED = (601, "info", "an attempt failed")
    STREAM_RESUMED = (602, "info", "a stream went on over a new connection")
    ANSWER_REJECTED = (603, "error", "a target answered with another attempt's content")
    REQUEST_PLACED = (604, "info", "a request was given to an engine")
    REQUEST_REFUSED = (605, "info", "a request was refused and has not run")
    REQUEST_FAILED = (606, "info", "a request ended without a whole answer and may have run")
    REQUEST_REJECTED = (607, "info", "a request was not allowed as it came")
    REQUEST_SERVED = (608, "info", "a request got its whole answer")
    CALLER_LEFT = (609, "info", "a caller closed its connection before its answer was whole")
    ANSWER_BEGUN = (610, "info", "an engine's answer began")
    REQUEST_TURNED_AWAY = (611, "info", "a request would wait too long and is told to come back")
    CLAIM_RELEASED = (701, "info", "a claim of an attempt that never ran was released")
    CLAIM_UNSETTLED = (702, "warning", "it is not known whether a claim was written")
    LEASE_TAKEN = (801, "info", "this router holds the lease of a service's orders")
    LEASE_LOST = (802, "warning", "this router no longer holds the lease of a service's orders")
    ORDER_SENT = (803, "info", "an engine order was sent")
    ORDER_FAILED = (804, "warning", "an engine order was refused or not answered")


def log(event: Event, **fields: object) -> None:
    """Write one numbered event with its fields."""
    number, level, meaning = event.value
    extra = {"event": event.name, "number": number, "fields": fields}
    getattr(logger, level)("{}", Line(number, event.name, meaning, fields), extra=extra)


class Line:
    """Hold the text form of an event, made only where a handler asks for it."""

    __slots__ = ("fields", "meaning", "name", "number")

    def __init__(self, number: int, name: str, meaning: str, fields: dict[str, object]):
        self.number = number
        self.name = name
        self.meaning = meaning
        self.fields = fields

    def __format__(self, _: str) -> str:
        details = " ".join(f"{key}={value!r}" for key, value in self.fields.items())
        return f"E{self.number} {self.name}: {self.meaning} {details}".rstrip()
