"""Problem details (RFC 9457) and the headers of problem responses."""

import math

import msgspec

from marjoramspool.outcomes import Outcome, Problem

__all__ = ["OUTCOME_HEADER", "RejectedError", "error_event", "problem_body", "problem_headers"]

OUTCOME_HEADER = "Marjoramspool-Outcome"
PROBLEM_TYPE = "application/problem+json"


class RejectedError(Exception):
    """Rejection of a request before it is routed."""

    def __init__(self, problem: Problem):
        self.problem = problem
        super().__init__(problem.title)


class Body(msgspec.Struct, omit_defaults=True):
    """Problem details as sent to the caller."""

    type: str
    title: str
    status: int
    detail: str
    request: str
    outcome: str


def problem_body(problem: Problem, request_id: str, tag: str) -> bytes:
    """Return the problem details of one request as JSON."""
    body = Body("about:blank", problem.title, problem.status, problem.remedy, request_id, tag)
    return msgspec.json.encode(body)


def problem_headers(problem: Problem, request_id: str, tag: str) -> dict[str, str]:
    """Return the headers of a problem response."""
    headers = {
        "Content-Type": PROBLEM_TYPE,
        OUTCOME_HEADER: tag,
        "X-Request-Id": request_id,
    }
    if problem.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(problem.retry_after_s)))
    return headers


def error_event(outcome: Outcome, request_id: str) -> bytes:
    """Return the error event sent before the connection of an incomplete answer is closed."""
    return (
        b"event: error\ndata: " + problem_body(outcome.problem, request_id, outcome.tag) + b"\n\n"
    )
