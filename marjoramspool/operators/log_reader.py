"""From a request's id to its cause, by the log lines of several routers."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

__all__ = ["Explanation", "explain_request", "read_lines"]

# What a router believed of an engine this long before a request's last line may explain it.
CONTEXT_S = 5.0
OUTCOMES = {
    "REQUEST_SERVED": "served",
    "REQUEST_REFUSED": "refused, has not run",
    "REQUEST_FAILED": "failed, may have run",
    "REQUEST_REJECTED": "not allowed",
    "CALLER_LEFT": "the caller left",
}
ABOUT_ENGINES = ("ENGINE_SUSPECTED", "ENGINE_UNLISTED", "ENGINE_LISTED")
ABOUT_STATE = ("ROUTES_ADOPTED", "PLATFORM_OUT", "PLATFORM_BACK", "ROUTER_STARTED")


@dataclass(slots=True, frozen=True)
class Line:
    """Hold one log line: its Unix time in seconds, its event and its fields."""

    at: float
    event: str
    fields: dict

    def text(self) -> str:
        """Return the line for a person."""
        details = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at:.3f} {self.event} {details}"


@dataclass(slots=True, frozen=True)
class Explanation:
    """Hold the lines of a request, what was known around it, and the cause."""

    request: str
    lines: list[Line]
    context: list[Line]
    cause: str


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the log lines among some text; what a collector put before a line is passed over."""
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
    """Join what the logs say of a request; None if they say nothing."""
    everything = sorted(lines, key=lambda line: line.at)
    mine = [line for line in everything if line.fields.get("request") == request]
    if not mine:
        return None
    engines = {line.fields.get("engine") or line.fields.get("target") for line in mine}
    since, until = mine[0].at - CONTEXT_S, mine[-1].at
    context = [
        line
        for line in everything
        if since <= line.at <= until
        and (
            (line.event in ABOUT_ENGINES and line.fields.get("engine") in engines)
            or line.event in ABOUT_STATE
        )
    ]
    return Explanation(request, mine, context, cause_of(mine, everything))


def cause_of(mine: list[Line], everything: list[Line]) -> str:
    """Return the cause of a request's outcome in a sentence."""
    endings = [line for line in mine if line.event in OUTCOMES]
    if not endings:
        return "no outcome is logged: the router was killed, or its log is cut"
    last = endings[-1]
    why = last.fields.get("why", "")
    failed = [line for line in mine if line.event == "ATTEMPT_FAILED"]
    match last.event:
        case "REQUEST_REJECTED":
            return rejected_cause(last, everything)
        case "REQUEST_SERVED" if last.fields.get("status", 200) >= 500:
            return f"the engine answered {last.fields['status']}; {attempts(failed)}"
        case "REQUEST_SERVED":
            return f"served; {attempts(failed)}"
        case "CALLER_LEFT":
            begun = any(line.event == "ANSWER_BEGUN" for line in mine)
            where = "during its answer" if begun else "before its answer began"
            return f"the caller left {where}; {attempts(failed)}"
        case _:
            return f"{OUTCOMES[last.event]}: {why}; {attempts(failed)}"


def attempts(failed: list[Line]) -> str:
    """Return what became of the attempts that failed."""
    if not failed:
        return "no attempt failed"
    return f"{len(failed)} attempts failed: " + "; ".join(line.fields["why"] for line in failed)


def rejected_cause(last: Line, everything: list[Line]) -> str:
    """Return why a request was not allowed, and since when on that router's version."""
    adopted = [
        line
        for line in everything
        if line.event == "ROUTES_ADOPTED"
        and line.at <= last.at
        and f"version {line.fields['version']} " in last.fields["why"] + " "
    ]
    since = f", in force since {adopted[-1].at:.3f}" if adopted else ""
    return f"status {last.fields['status']}: {last.fields['why']}{since}"
