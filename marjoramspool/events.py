"""Numbered log events, listed in docs/EVENTS.md."""

from enum import Enum

from logbook import Logger

__all__ = ["Event", "log"]

logger = Logger("marjoramspool")


class Event(Enum):
    """Log events, each with its number, level and meaning."""

    ROUTER_STARTED = (101, "info", "a router has started and listens on its ports")
    ROUTER_DRAINING = (102, "info", "a router reports not ready and finishes requests in flight")
    ROUTER_STOPPED = (103, "info", "a router has stopped and closed its resources")
    TASK_FAILED = (104, "error", "a background task or request handler failed; tasks are restarted")
    DOCUMENT_ADOPTED = (201, "info", "a newer version of a service document was applied")
    DOCUMENT_INVALID = (202, "error", "a stored document is invalid; the last valid one stays")
    DOCUMENT_DELETED = (203, "warning", "a service document was deleted and its service removed")
    ROUTES_ADOPTED = (204, "info", "a newer version of the route table was applied")
    ROUTES_INVALID = (205, "error", "a route table is invalid; the last valid one stays in force")
    DOCUMENT_REWRITTEN = (208, "warning", "a service document that the store lost is written again")
    SETTINGS_READ = (206, "info", "the settings file was reloaded")
    SETTINGS_INVALID = (207, "error", "changed settings are invalid; the last valid ones stay")
    PLATFORM_OUT = (301, "warning", "the platform does not respond; routing uses soft state")
    PLATFORM_BACK = (302, "info", "the platform responds again")
    PLATFORM_BUDGET = (303, "warning", "a platform call was refused by this router's call budget")
    PLATFORM_RESTORED = (
        304,
        "warning",
        "the store was restored from a copy; it lost recent writes",
    )
    MEMBER_ALIVE = (401, "info", "a router joined the fleet or is reachable again")
    MEMBER_SUSPECT = (402, "info", "a router did not answer a probe and is suspected to be dead")
    MEMBER_DEAD = (403, "warning", "a router is considered dead")
    OWNER_SILENT = (404, "warning", "an admission owner did not respond in time")
    PEER_UNREADABLE = (405, "warning", "a message from another router could not be decoded")
    PEER_STATE_TAKEN = (406, "info", "state was imported from another router")
    PEER_STATE_MISSED = (407, "warning", "state could not be fetched from another router")
    TARGET_LEAVING = (501, "info", "a target is draining and receives no new requests")
    TARGET_RETURNED = (502, "info", "a target stopped draining and receives requests again")
    TARGET_EJECTED = (503, "warning", "a target refused connections and is temporarily ejected")
    TARGET_RESTARTED = (504, "info", "a target restarted with a new incarnation; its cache is lost")
    TARGET_OUT_OF_REACH = (
        530,
        "warning",
        "a target that other routers reach refused connections from here",
    )
    ENGINE_LISTED = (505, "info", "an engine registered, or started or stopped draining")
    ENGINE_UNLISTED = (506, "info", "an engine's registration is gone or its address reassigned")
    ENGINE_SUSPECTED = (507, "warning", "an engine failed requests and is temporarily ejected")
    CACHE_LISTED = (508, "info", "an engine was asked for the contents of its cache")
    ENGINE_ENDED = (511, "warning", "an engine ended while a request to it was unanswered")
    PART_QUARANTINED = (512, "error", "engines ended under a part of requests, now quarantined")
    PART_RELEASED = (513, "info", "the quarantine of a part of requests was lifted")
    QUARANTINE_UNREADABLE = (514, "warning", "a stored quarantine names no part of requests")
    ENGINE_PAUSED = (510, "info", "an engine refused a request and asked for a pause")
    ENGINE_LIMITED = (515, "warning", "the rate limit that an engine names began, changed or ended")
    ENGINES_OUT_OF_REACH = (516, "warning", "no engine of a service accepts connections from here")
    ENGINES_IN_REACH = (517, "info", "engines of a service accept connections from here again")
    ENGINES_BRITTLE = (518, "warning", "engines fall over if they turn too many requests away")
    ENGINE_FULL = (519, "info", "a brittle engine turned a request away; its bound is tightened")
    EVACUATION_BEGUN = (520, "warning", "the engines of a failure domain get no new requests")
    EVACUATION_ENDED = (521, "info", "the engines of a failure domain get requests again")
    ENGINE_COLD = (522, "info", "an engine is cold and gets only the few requests that it sustains")
    ENGINE_WARM = (523, "info", "an engine is no longer cold and gets its full share of requests")
    NOTICE_MALFORMED = (524, "warning", "a figure that a target names is malformed and ignored")
    SPEEDS_REPORTED = (
        531,
        "info",
        "targets of a service tell their speed, which placement uses",
    )
    SPEED_DOUBTED = (532, "warning", "a target's answers take far longer than it tells; they count")
    CONTENTION_BEGUN = (525, "warning", "a service is contended; its accounts get shares of it")
    CONTENTION_ENDED = (526, "info", "a service is no longer contended")
    ROUTER_UNREADABLE = (541, "warning", "the registration of a router is malformed and ignored")
    EVACUATION_UNREADABLE = (542, "warning", "an evacuation names no failure domain and is ignored")
    DOCUMENT_UNREADABLE = (543, "warning", "a stored object is not a text and is ignored")
    REGISTRATION_UNREADABLE = (509, "warning", "a registration could not be decoded and is ignored")
    ATTEMPT_FAILED = (601, "info", "an attempt failed")
    STREAM_RESUMED = (602, "info", "a stream was resumed over a new connection")
    ANSWER_REJECTED = (603, "error", "an answer was rejected because it belongs to another attempt")
    ANSWER_MALFORMED = (618, "error", "the bytes that a target sent are no answer")
    REQUEST_PLACED = (604, "info", "a request was assigned to an engine")
    REQUEST_REFUSED = (605, "info", "a request was refused and was not executed")
    REQUEST_FAILED = (606, "info", "a request got no complete answer and may have been executed")
    REQUEST_REJECTED = (607, "info", "a request was not acceptable as received and was rejected")
    REQUEST_SERVED = (608, "info", "a request was answered completely")
    CALLER_LEFT = (609, "info", "a caller disconnected before its answer was complete")
    ANSWER_BEGUN = (610, "info", "an engine started to answer")
    REQUEST_TURNED_AWAY = (611, "info", "a request would wait too long: shed with Retry-After")
    REQUEST_FORWARDED = (613, "info", "a request was sent through another router")
    STREAM_NOT_RESUMED = (612, "warning", "a stream cannot go on at the version that began it")
    RUN_CONTINUED = (614, "info", "a run went on from its copied memory at another engine")
    RUN_NOT_CONTINUED = (615, "warning", "a run with a copy of its memory could not go on there")
    RUN_MOVED = (616, "info", "a run went on elsewhere, moved off an engine that leaves")
    RUN_NOT_MOVED = (617, "info", "a run could not be moved off an engine that leaves")
    CLIENT_EVICTED = (620, "warning", "a client connection was given up to make room for others")
    CLIENT_REFUSED = (621, "warning", "a connection or a request of a client found no room")
    CLIENT_EXPIRED = (622, "info", "a client left its connection idle, or its answer unread")
    CLAIM_RELEASED = (701, "info", "the claim of an attempt that was never executed was released")
    CLAIM_UNSETTLED = (702, "warning", "it is unknown whether a claim was written")
    LEASE_TAKEN = (801, "info", "this router acquired the lease for a service's engine orders")
    LEASE_LOST = (802, "warning", "this router lost the lease for a service's engine orders")
    ORDER_SENT = (803, "info", "an order was sent to an engine")
    ORDER_FAILED = (804, "warning", "an engine refused an order or did not answer it")


def log(event: Event, **fields: object) -> None:
    """Log an event with its fields."""
    number, level, meaning = event.value
    extra = {"event": event.name, "number": number, "fields": fields}
    getattr(logger, level)("{}", Line(number, event.name, meaning, fields), extra=extra)


class Line:
    """Text form of an event, rendered only when a handler formats the record."""

    __slots__ = ("fields", "meaning", "name", "number")

    def __init__(self, number: int, name: str, meaning: str, fields: dict[str, object]):
        self.number = number
        self.name = name
        self.meaning = meaning
        self.fields = fields

    def __format__(self, _: str) -> str:
        details = " ".join(f"{key}={value!r}" for key, value in self.fields.items())
        return f"E{self.number} {self.name}: {self.meaning} {details}".rstrip()
