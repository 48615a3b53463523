"""Cause of a request's outcome, found from its ID in the log lines of several routers."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

__all__ = ["Explanation", "explain_request", "read_lines"]

# Engine and state events count as context from this long before a request's first line.
CONTEXT_WINDOW_S = 5.0
OUTCOMES = {
    "REQUEST_SERVED": "served",
    "REQUEST_REFUSED": "refused, has not run",
    "REQUEST_FAILED": "failed, may have run",
    "REQUEST_REJECTED": "not allowed",
    "CALLER_LEFT": "the caller left",
}
ENGINE_EVENTS = ("ENGINE_SUSPECTED", "ENGINE_UNLISTED", "ENGINE_LISTED")
STATE_EVENTS = ("ROUTES_ADOPTED", "PLATFORM_OUT", "PLATFORM_BACK", "ROUTER_STARTED")


@dataclass(slots=True, frozen=True)
class Line:
    """Log line with its Unix time in seconds, its event and its other fields."""

    at: float
    event: str
    fields: dict

    def format(self) -> str:
        """Return the line in readable form."""
        details = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at:.3f} {self.event} {details}"


@dataclass(slots=True, frozen=True)
class Explanation:
    """Log lines of a request, related events at that time, and the cause of the outcome."""

    request: str
    lines: list[Line]
    context: list[Line]
    cause: str


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the log lines in a text; skip other lines and prefixes that a log collector added."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:])
            at, event = fields.pop("t"), fields.pop("event")
        except (msgspec.MsgspecError, AttributeError, KeyError):
            continue
        fields.pop("level", None)
        yield Line(at, event, fields)


def explain_request(request: str, lines: Iterable[Line]) -> Explanation | None:
    """Return what the logs contain about a request, None if no line has its ID."""
    all_lines = sorted(lines, key=lambda line: line.at)
    request_lines = [line for line in all_lines if line.fields.get("request") == request]
    if not request_lines:
        return None
    engines = {line.fields.get("engine") or line.fields.get("target") for line in request_lines}
    from_time, until = request_lines[0].at - CONTEXT_WINDOW_S, request_lines[-1].at
    context = [
        line
        for line in all_lines
        if from_time <= line.at <= until
        and (
            (line.event in ENGINE_EVENTS and line.fields.get("engine") in engines)
            or line.event in STATE_EVENTS
        )
    ]
    return Explanation(request, request_lines, context, find_cause(request_lines, all_lines))


def find_cause(request_lines: list[Line], all_lines: list[Line]) -> str:
    """Return the cause of a request's outcome as text."""
    outcome_lines = [line for line in request_lines if line.event in OUTCOMES]
    if not outcome_lines:
        return "no outcome is logged: the router was killed, or its log is incomplete"
    last = outcome_lines[-1]
    reason = last.fields.get("why", "")
    failed = [line for line in request_lines if line.event == "ATTEMPT_FAILED"]
    match last.event:
        case "REQUEST_REJECTED":
            return find_rejection_cause(last, all_lines)
        case "REQUEST_SERVED" if last.fields.get("status", 200) >= 500:
            return f"the engine answered {last.fields['status']}; {summarize_failures(failed)}"
        case "REQUEST_SERVED":
            return f"served; {summarize_failures(failed)}"
        case "CALLER_LEFT":
            has_begun = any(line.event == "ANSWER_BEGUN" for line in request_lines)
            where = "during its answer" if has_begun else "before its answer began"
            return f"the caller left {where}; {summarize_failures(failed)}"
        case _:
            return f"{OUTCOMES[last.event]}: {reason}; {summarize_failures(failed)}"


def summarize_failures(failed: list[Line]) -> str:
    """Return the number of failed attempts and their reasons as text."""
    if not failed:
        return "no attempt failed"
    return f"{len(failed)} attempts failed: " + "; ".join(line.fields["why"] for line in failed)


def find_rejection_cause(last: Line, all_lines: list[Line]) -> str:
    """Return why a request was rejected, and since when the deciding version was in force."""
    adoptions = [
        line
        for line in all_lines
        if line.event == "ROUTES_ADOPTED"
        and line.at <= last.at
        and f"version {line.fields['version']} " in last.fields["why"] + " "
    ]
    since = f", in force since {adoptions[-1].at:.3f}" if adoptions else ""
    return f"status {last.fields['status']}: {last.fields['why']}{since}"
