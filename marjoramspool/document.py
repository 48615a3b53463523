"""Service documents, INI files that describe one service each."""

import fnmatch
import hashlib
from dataclasses import dataclass

from marjoramspool.inifile import InvalidFileError, Reader

__all__ = [
    "Account",
    "Document",
    "InvalidFileError",
    "NonIdempotentRule",
    "Target",
    "hash_key",
    "read_document",
]

LOWEST_URGENCY = 7
SHA256_HEX_DIGITS = 64


@dataclass(slots=True, frozen=True)
class Target:
    """Engine, or target of a plain service."""

    name: str
    address: str
    slots: int
    failure_domain: str
    checks_fencing: bool
    drain: bool
    model: str


@dataclass(slots=True, frozen=True)
class Account:
    """Client account, with its weight in fair sharing and its urgency."""

    name: str
    key_sha256: str
    weight: int
    urgency: int


@dataclass(slots=True, frozen=True)
class NonIdempotentRule:
    """Rule that marks the requests of some methods and a path pattern as non-idempotent."""

    name: str
    methods: tuple[str, ...]
    path: str

    def matches(self, method: str, path: str) -> bool:
        """Return whether the rule applies to a request."""
        return method in self.methods and fnmatch.fnmatchcase(path, self.path)


@dataclass(slots=True, frozen=True, eq=False)
class Document:
    """Validated service document, compared by identity."""

    name: str
    kind: str
    load_bound: float
    deadline_s: float
    queue_wait_s: float
    urgent_reserve: float
    retry_budget: float
    idle_timeout_s: float
    cell_engines: int
    claim_retention_s: float
    holder_wait_s: float
    prefill_tokens_per_s: float
    targets: dict[str, Target]
    accounts: dict[str, Account]
    non_idempotent_rules: tuple[NonIdempotentRule, ...]

    def find_account(self, key_sha256: str) -> Account | None:
        """Return the account of a hashed API key, or None if there is none."""
        for account in self.accounts.values():
            if account.key_sha256 == key_sha256:
                return account
        return None

    def is_non_idempotent(self, method: str, path: str) -> bool:
        """Return whether a request is marked as non-idempotent."""
        return any(rule.matches(method, path) for rule in self.non_idempotent_rules)


def hash_key(key: str) -> str:
    """Return the SHA-256 digest of an API key in hexadecimal, as documents store it."""
    return hashlib.sha256(key.encode()).hexdigest()


def read_document(file: str, text: str) -> Document:
    """Validate the text of a service document; raise InvalidFileError with all errors."""
    reader = Reader(file, text)
    service = reader.section("service", required=True)
    kind = service.choice("kind", ("model", "plain"))
    document = Document(
        name=service.text("name"),
        kind=kind,
        load_bound=service.number("load-bound", 1.0, 10.0, 1.25),
        deadline_s=service.seconds("deadline", 0.1, 3600, 60.0),
        queue_wait_s=service.seconds("queue-wait", 0, 60, 2.0),
        urgent_reserve=service.number("urgent-reserve", 0, 0.9, 0.2),
        retry_budget=service.number("retry-budget", 0, 1, 0.1),
        idle_timeout_s=service.seconds("idle-timeout", 0.05, 600, 5.0),
        cell_engines=service.integer("cell-engines", 1, 1000, 8),
        claim_retention_s=service.seconds("claim-retention", 60, 604800, 86400.0),
        holder_wait_s=service.seconds("patience", 0, 10, 0.2),
        prefill_tokens_per_s=service.number("prefill-rate", 1, 1e9, 10_000.0),
        targets=read_targets(reader, "engine" if kind == "model" else "target"),
        accounts=read_accounts(reader),
        non_idempotent_rules=read_rules(reader),
    )
    service.finish()
    check_consistency(service, document)
    reader.finish()
    return document


def check_consistency(section, document: Document) -> None:
    """Report errors that concern several sections."""
    if not document.targets:
        section.report("kind", "the service has no target", "add [engine NAME] or [target NAME]")
    if not document.accounts:
        section.report("name", "the service has no client account", "add [account NAME]")
    addresses = [target.address for target in document.targets.values()]
    for address in sorted({a for a in addresses if a and addresses.count(a) > 1}):
        section.report("name", f"two targets share {address}", "give each target its own address")
    keys = [account.key_sha256 for account in document.accounts.values()]
    if len(set(keys)) != len(keys):
        section.report("name", "two accounts share a key", "give each account its own key")


def read_targets(reader: Reader, kind: str) -> dict[str, Target]:
    """Return the engines or targets of a service by name."""
    targets = {}
    for name, section in reader.named_sections(kind):
        targets[name] = Target(
            name=name,
            address=section.endpoint("address"),
            slots=section.integer("slots", 1, 100_000, 16),
            failure_domain=section.text("failure-domain", ""),
            checks_fencing=section.boolean("checks-fencing", False),
            drain=section.boolean("drain", False),
            model=section.text("model", ""),
        )
        section.finish()
    return targets


def parse_key_hash(text: str) -> str:
    """Parse a SHA-256 digest in hexadecimal."""
    text = text.strip().lower()
    if len(text) != SHA256_HEX_DIGITS or set(text) - set("0123456789abcdef"):
        raise ValueError(text)
    return text


def read_accounts(reader: Reader) -> dict[str, Account]:
    """Return the client accounts of a service by name."""
    accounts = {}
    for name, section in reader.named_sections("account"):
        accounts[name] = Account(
            name=name,
            key_sha256=section.read(
                "key-sha256", parse_key_hash, "the SHA-256 of the key in hexadecimal"
            ),
            weight=section.integer("weight", 1, 1000, 1),
            urgency=section.integer("urgency", 0, LOWEST_URGENCY, 3),
        )
        section.finish()
    return accounts


def read_rules(reader: Reader) -> tuple[NonIdempotentRule, ...]:
    """Return the rules that mark requests as non-idempotent."""
    rules = []
    for name, section in reader.named_sections("non-idempotent"):
        methods = section.text("methods") or ""
        path = section.text("path")
        rules.append(
            NonIdempotentRule(name, tuple(methods.upper().replace(",", " ").split()), path)
        )
        section.finish()
    return tuple(rules)
