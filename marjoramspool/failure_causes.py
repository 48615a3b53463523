"""Causes of failed calls, in the few words that a client may read."""

import os

import aiohttp

from marjoramspool.answer_grammar import MalformedAnswerError

__all__ = ["describe_cause"]


def describe_cause(error: BaseException) -> str:
    """Return why a call failed, without addresses and without bytes of a request or an answer.

    Fault: the errors of the HTTP library quote what could not be parsed, and the whole request.
    """
    match error:
        case MalformedAnswerError():
            return str(error)
        case aiohttp.ServerDisconnectedError():
            return "the connection was closed"
        case TimeoutError():
            return "it took too long"
        case aiohttp.ClientPayloadError():
            return "the answer is incomplete"
        case aiohttp.ClientResponseError():
            return "the answer cannot be read"
        case OSError(errno=int(number)):
            return os.strerror(number).lower()
        case _:
            return "the connection failed"
