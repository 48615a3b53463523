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
    PLATFORM_OUT = (301, "warning", "the platform does not answer; soft state carries on")
    PLATFORM_BACK = (302, "info", "the platform answers again")
    PLATFORM_BUDGET = (303, "warning", "a platform call was refused by this router's own budget")
    MEMBER_ALIVE = (401, "info", "a router joined or came back")
    MEMBER_SUSPECT = (402, "info", "a router did not answer a probe")
    MEMBER_DEAD = (403, "warning", "a router is held to be dead")
    OWNER_SILENT = (404, "warning", "an admission owner did not answer in time")
    TARGET_LEAVING = (501, "info", "a target leaves and gets no new work")
    TARGET_RETURNED = (502, "info", "a target that was leaving takes work again")
    TARGET_EJECTED = (503, "warning", "a target refused new connections and is passed over")
    TARGET_RESTARTED = (504, "info", "a target has a new incarnation; its cache is lost")
    ATTEMPT_FAILED = (601, "info", "an attempt failed")
    STREAM_RESUMED = (602, "info", "a stream went on over a new connection")
    ANSWER_REJECTED = (603, "error", "a target answered with another attempt's content")
    CLAIM_RELEASED = (701, "info", "a claim of an attempt that never ran was released")
    CLAIM_UNSETTLED = (702, "warning", "it is not known whether a claim was written")
    LEASE_TAKEN = (801, "info", "this router holds the lease of a service's orders")
    LEASE_LOST = (802, "warning", "this router no longer holds the lease of a service's orders")
    ORDER_SENT = (803, "info", "an engine order was sent")
    ORDER_FAILED = (804, "warning", "an engine order was refused or not answered")


def log(event: Event, **fields: object) -> None:
    """Write one numbered event with its fields as key=value pairs."""
    number, level, meaning = event.value
    details = " ".join(f"{key}={value!r}" for key, value in fields.items())
    getattr(logger, level)(f"E{number} {event.name}: {meaning} {details}".rstrip())
