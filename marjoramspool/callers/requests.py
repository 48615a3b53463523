"""Validation and authorization of callers' requests."""

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
from marjoramspool.untrusted_json import decode_json

__all__ = [
    "AFFINITY_HEADER",
    "authorize_head",
    "get_request_id",
    "parse_chat_request",
    "parse_service_request",
]

AFFINITY_HEADER = "Marjoramspool-Affinity"
AFFINITY_COOKIE = "marjoramspool_affinity"
MAX_IDEMPOTENCY_KEY_BYTES = 255
# Longer chats are hashed at both ends, which new turns and other chats share.
MAX_HASHED_MESSAGES = 24
SLASHES_BEFORE_PATH = 3
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
URGENCY_PATTERN = re.compile(r"(?:^|[,\s])u=([0-7])(?:$|[,;\s])")


class Message(msgspec.Struct):
    """Fields of a chat message that routing needs."""

    role: str
    content: msgspec.Raw = msgspec.Raw(b"null")


class ChatBody(msgspec.Struct):
    """Fields of a chat completion request that routing needs."""

    model: str
    messages: list[Message]
    stream: bool = False
    prompt_cache_key: str | None = None


def get_request_id(http_request: web.Request) -> str:
    """Return the caller's request ID if it is well-formed, else a new one."""
    given = http_request.headers.get("X-Request-Id", "")
    return given if REQUEST_ID_PATTERN.fullmatch(given) else uuid.uuid4().hex


def parse_chat_request(
    http_request: web.Request, body: bytes, request_id: str, configuration: Configuration
) -> Request:
    """Return a validated chat completion request; raise RejectedError if it is invalid."""
    try:
        chat = decode_json(body, ChatBody)
    except msgspec.MsgspecError as error:
        remedy = f"send a chat completion request as JSON: {error}"
        raise RejectedError(Problem(400, "the body is malformed", remedy)) from error
    if not chat.messages:
        raise RejectedError(Problem(400, "the chat has no messages", "send at least one message"))
    document, account = authorize(http_request, chat.model, "model", configuration)
    request = build_request(http_request, body, request_id, document, account)
    request.chat = hash_chat(chat, account)
    request.parts = (*hash_messages(chat), *request.parts)
    request.is_first_turn = all(message.role != "assistant" for message in chat.messages)
    request.is_stream = chat.stream
    hint = http_request.headers.get(AFFINITY_HEADER) or http_request.cookies.get(AFFINITY_COOKIE)
    request.holders = decode_hint(hint)
    return request


def parse_service_request(
    http_request: web.Request, body: bytes, request_id: str, configuration: Configuration
) -> Request:
    """Return a validated request to a plain service; raise RejectedError if it is invalid."""
    name = http_request.match_info["service"]
    document, account = authorize(http_request, name, "plain", configuration)
    request = build_request(http_request, body, request_id, document, account)
    path = "/" + http_request.match_info["path"]
    if any(part in (".", "..") for part in path.split("/")):
        # A library may resolve dot segments after the check for non-idempotent requests, and so
        # bypass it.
        raise RejectedError(
            Problem(400, "the path has dot segments", "send it without dot segments")
        )
    request.is_non_idempotent = document.is_non_idempotent(http_request.method, path)
    request.path = "/" + http_request.rel_url.raw_path.split("/", SLASHES_BEFORE_PATH)[-1]
    if http_request.rel_url.raw_query_string:
        request.path += "?" + http_request.rel_url.raw_query_string
    return request


def build_request(
    http_request: web.Request, body: bytes, request_id: str, document: Document, account: Account
) -> Request:
    """Return a request with the fields that chats and plain services have in common."""
    key = http_request.headers.get("Idempotency-Key")
    if key is not None and not 0 < len(key.encode()) <= MAX_IDEMPOTENCY_KEY_BYTES:
        remedy = f"send a key of 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes"
        raise RejectedError(Problem(400, "the Idempotency-Key is empty or too long", remedy))
    return Request(
        id=request_id,
        document=document,
        account=account,
        urgency=parse_urgency(http_request.headers.get("Priority", ""), account),
        method=http_request.method,
        path=http_request.path,
        headers=dict(http_request.headers),
        body=body,
        deadline=time.monotonic() + document.deadline_s,
        parts=(
            hashing.content_id(account.name, http_request.method, http_request.raw_path, (), body),
        ),
        key=key,
        is_non_idempotent=document.is_non_idempotent(http_request.method, http_request.path),
    )


def authorize_head(http_request: web.Request, configuration: Configuration) -> None:
    """Check what is known before the body; raise RejectedError if the request is denied."""
    service = http_request.match_info.get("service")
    if service is None:
        authenticate(http_request, configuration)
    else:
        authorize(http_request, service, "plain", configuration)


def authenticate(http_request: web.Request, configuration: Configuration) -> str:
    """Return the hash of the caller's key; raise RejectedError if no account has it."""
    scheme, _, key = http_request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        remedy = "send Authorization: Bearer KEY"
        raise RejectedError(Problem(401, "the request has no key", remedy))
    key_hash = hash_key(key.strip())
    if not any(document.find_account(key_hash) for document in configuration.documents()):
        raise RejectedError(Problem(401, "the key is unknown", "use a key of a client account"))
    return key_hash


def authorize(
    http_request: web.Request, service: str, kind: str, configuration: Configuration
) -> tuple[Document, Account]:
    """Return the service's document and the caller's account; raise RejectedError if denied."""
    key_hash = authenticate(http_request, configuration)
    document = configuration.document(service)
    if document is None or document.kind != kind:
        remedy = "name a service that has a document"
        raise RejectedError(Problem(404, f"there is no {kind} service {service!r}", remedy))
    account = document.find_account(key_hash)
    if account is None:
        remedy = "ask the service's team to add the account to its document"
        raise RejectedError(Problem(403, "the account may not use this service", remedy))
    return document, account


def parse_urgency(priority: str, account: Account) -> int:
    """Return the urgency (RFC 9218, 0 is the most urgent), by default that of the account."""
    match = URGENCY_PATTERN.search(priority)
    return int(match.group(1)) if match else account.urgency


def hash_messages(chat: ChatBody) -> tuple[int, ...]:
    """Return the hashes of the first and the last messages of a chat."""
    messages = chat.messages
    if len(messages) > MAX_HASHED_MESSAGES:
        half = MAX_HASHED_MESSAGES // 2
        messages = [*messages[:half], *messages[-half:]]
    return tuple(hashing.digest(f"{m.role}\0".encode() + bytes(m.content)) for m in messages)


def hash_chat(chat: ChatBody, account: Account) -> int:
    """Return the hash of a chat's cache key, or of its leading messages if it has none."""
    if chat.prompt_cache_key is not None:
        return hashing.digest(f"{account.name}\0{chat.prompt_cache_key}")
    leading = chat.messages[: 2 if chat.messages[0].role in ("system", "developer") else 1]
    parts = [f"{m.role}\0".encode() + bytes(m.content) for m in leading]
    return hashing.digest(account.name.encode() + b"\0" + b"\0".join(parts))
