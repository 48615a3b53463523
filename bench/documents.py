"""Service documents and router settings for tests, the demonstration and measurements."""

from pathlib import Path

from marjoramspool.document import hash_key

__all__ = ["example_at", "model_document", "plain_document", "router_settings"]

EXAMPLES = Path(__file__).parent.parent / "examples"


def model_document(
    name: str, ports: list[int], accounts: dict[str, int] | None = None, **options
) -> str:
    """Return the document of a model service whose engines listen on the given ports."""
    return build("model", "engine", name, ports, accounts or {"crews": 1}, options)


def plain_document(
    name: str, ports: list[int], accounts: dict[str, int] | None = None, **options
) -> str:
    """Return the document of a plain service; POST /closures is non-idempotent."""
    text = build("plain", "target", name, ports, accounts or {"crews": 1}, options)
    return text + "[non-idempotent closures]\nmethods = POST, PUT, DELETE\npath = /closures*\n"


def build(
    kind: str, word: str, name: str, ports: list[int], accounts: dict[str, int], options: dict
) -> str:
    """Return a document; `slots` and `model` apply to each target, other options to the service."""
    slots = options.pop("slots", 16)
    model = options.pop("model", "")
    lines = ["[service]", f"name = {name}", f"kind = {kind}"]
    lines += [f"{key.replace('_', '-')} = {value}" for key, value in options.items()]
    for index, port in enumerate(ports):
        lines += ["", f"[{word} {word}-{index}]", f"address = 127.0.0.1:{port}", f"slots = {slots}"]
        if model:
            lines.append(f"model = {model}")
    for account, weight in accounts.items():
        lines += ["", f"[account {account}]", f"key-sha256 = {hash_key(account + '-key')}"]
        lines.append(f"weight = {weight}")
    return "\n".join(lines) + "\n\n"


def example_at(name: str, ports: list[int]) -> str:
    """Return a shipped example with the addresses of its targets replaced."""
    remaining_ports = iter(ports)
    lines = []
    for line in (EXAMPLES / f"{name}.ini").read_text().splitlines():
        if line.startswith("address = "):
            line = f"address = 127.0.0.1:{next(remaining_ports)}"
        lines.append(line)
    return "\n".join(lines) + "\n"


def router_settings(
    name: str, domain: str, ports: list[int], platform: int, extra: str = "", **timings
) -> str:
    """Return the settings of a router with three ports: for callers, peers and operators."""
    lines = [f"{key.replace('_', '-')} = {value}" for key, value in timings.items()]
    return f"""[router]
name = {name}
address = 127.0.0.1
failure-domain = {domain}
callers-port = {ports[0]}
peers-port = {ports[1]}
operators-port = {ports[2]}
{extra}
[timings]
{chr(10).join(lines)}

[platform]
address = 127.0.0.1:{platform}
"""
