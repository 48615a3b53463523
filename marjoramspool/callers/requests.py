"""Checked requests, made from what callers send."""

import re
import time
import uuid

import msgspec
from aiohttp import web

from marjoramspool import hashing
from marjoramspool.callers.affinity import decode_hint
from marjoramspool.callers.problems import RejectedError
from marjoramspool.configuration import Configuration
from marjoramspool.dispatch import Request
from marjoramspool.document import Account, Document, hash_key
from marjoramspool.outcomes import Problem

__all__ = ["AFFINITY_HEADER", "chat_request", "request_id", "service_request"]

AFFINITY_HEADER = "Marjoramspool-Affinity"
AFFINITY_COOKIE = "marjoramspool_affinity"
IDEMPOTENCY_KEY_BYTES = 255
PARTS_BEFORE_PATH = 3
REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
PRIORITY_URGENCY = re.compile(r"(?:^|[,\s])u=([0-7])(?:$|[,;\s])")


class Message(msgspec.Struct):
    """Decode what routing needs of a chat message."""

    role: str
    content: msgspec.Raw = msgspec.Raw(b"null")


class ChatBody(msgspec.Struct):
    """Decode what routing needs of a chat completion request."""

    model: str
    messages: list[Message]
    stream: bool = False
    prompt_cache_key: str | None = None


def request_id(request: web.Request) -> str:
    """Return the caller's request id if it is well formed, else a new one."""
    given = request.headers.get("X-Request-Id", "")
    return given if REQUEST_ID.fullmatch(given) else uuid.uuid4().hex


def chat_request(
    request: web.Request, body: bytes, number: str, configuration: Configuration
) -> Request:
    """Check a chat completion request; raise RejectedError with the remedy."""
    try:
        chat = msgspec.json.decode(body, type=ChatBody)
    except msgspec.MsgspecError as error:
        remedy = f"send a chat completion request as JSON: {error}"
        raise RejectedError(Problem(400, "the body is malformed", remedy)) from error
    if not chat.messages:
        raise RejectedError(Problem(400, "the chat has no message", "send at least one message"))
    document, account = authorize(request, chat.model, "model", configuration)
    checked = base_request(request, body, number, document, account)
    checked.chat = chat_hash(chat, account)
    checked.is_first_turn = all(message.role != "assistant" for message in chat.messages)
    checked.is_stream = chat.stream
    hint = request.headers.get(AFFINITY_HEADER) or request.cookies.get(AFFINITY_COOKIE)
    checked.holders = decode_hint(hint)
    return checked


def service_request(
    request: web.Request, body: bytes, number: str, configuration: Configuration
) -> Request:
    """Check a request to a plain service; raise RejectedError with the remedy."""
    name = request.match_info["service"]
    document, account = authorize(request, name, "plain", configuration)
    checked = base_request(request, body, number, document, account)
    path = "/" + request.match_info["path"]
    if any(part in (".", "..") for part in path.split("/")):
        # A library may resolve them later, past the check for non-idempotent requests.
        raise RejectedError(Problem(400, "the path has dot segments", "send the path resolved"))
    checked.is_non_idempotent = document.is_non_idempotent(request.method, path)
    checked.path = "/" + request.rel_url.raw_path.split("/", PARTS_BEFORE_PATH)[-1]
    if request.rel_url.raw_query_string:
        checked.path += "?" + request.rel_url.raw_query_string
    return checked


def base_request(
    request: web.Request, body: bytes, number: str, document: Document, account: Account
) -> Request:
    """Return the part of a request that both interfaces share."""
    key = request.headers.get("Idempotency-Key")
    if key is not None and not 0 < len(key.encode()) <= IDEMPOTENCY_KEY_BYTES:
        remedy = f"send a key of 1 to {IDEMPOTENCY_KEY_BYTES} bytes"
        raise RejectedError(Problem(400, "the Idempotency-Key has a wrong length", remedy))
    return Request(
        id=number,
        document=document,
        account=account,
        urgency=urgency(request.headers.get("Priority", ""), account),
        method=request.method,
        path=request.path,
        headers=dict(request.headers),
        body=body,
        deadline=time.monotonic() + document.deadline_s,
        key=key,
        is_non_idempotent=document.is_non_idempotent(request.method, request.path),
    )


def authorize(
    request: web.Request, service: str, kind: str, configuration: Configuration
) -> tuple[Document, Account]:
    """Return the service and the caller's account; raise RejectedError."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        remedy = "send Authorization: Bearer KEY"
        raise RejectedError(Problem(401, "the request has no key", remedy))
    hashed = hash_key(key.strip())
    documents = configuration.documents()
    if not any(document.find_account(hashed) for document in documents):
        raise RejectedError(Problem(401, "the key is not known", "use a key of a client account"))
    document = configuration.document(service)
    if document is None or document.kind != kind:
        remedy = "name a service that has a document"
        raise RejectedError(Problem(404, f"there is no {kind} service {service!r}", remedy))
    account = document.find_account(hashed)
    if account is None:
        remedy = "ask the service's team to add the account to its document"
        raise RejectedError(Problem(403, "the account may not use this service", remedy))
    return document, account


def urgency(priority: str, account: Account) -> int:
    """Return the urgency (RFC 9218), 0 the most urgent; the account's own is the default."""
    found = PRIORITY_URGENCY.search(priority)
    return int(found.group(1)) if found else account.urgency


def chat_hash(chat: ChatBody, account: Account) -> int:
    """Return the hash of a chat: of its key, else of its leading messages."""
    if chat.prompt_cache_key is not None:
        return hashing.digest(f"{account.name}\0{chat.prompt_cache_key}")
    leading = chat.messages[: 2 if chat.messages[0].role in ("system", "developer") else 1]
    parts = [f"{m.role}\0".encode() + bytes(m.content) for m in leading]
    return hashing.digest(account.name.encode() + b"\0" + b"\0".join(parts))
