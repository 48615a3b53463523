"""Settings of a router, read from an INI file."""

from dataclasses import dataclass
from pathlib import Path

from marjoramspool.inifile import Diagnostic, InvalidFileError, Reader, parse_endpoint
from marjoramspool.process_limits import DEFAULT_MEMORY_BYTES, ProcessLimits, open_file_limit

__all__ = ["Limits", "Settings", "Timings", "TlsFiles", "load_settings", "read_settings"]

MEBIBYTE = 1 << 20
MIN_MEMORY_BYTES = 96 * MEBIBYTE


@dataclass(slots=True, frozen=True)
class TlsFiles:
    """Paths of the TLS files of a listener."""

    certificate: str
    key: str
    authority: str | None


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits on the resources that a router uses."""

    body_bytes: int
    header_bytes: int
    requests: int
    platform_calls_per_s: float
    traces: int
    process: ProcessLimits


@dataclass(slots=True, frozen=True)
class Timings:
    """Periods and timeouts of a router, in seconds."""

    probe_period_s: float
    probe_timeout_s: float
    suspicion_timeout_s: float
    owner_answer_timeout_s: float
    poll_period_s: float
    router_poll_period_s: float
    watch_timeout_s: float
    platform_timeout_s: float
    connect_timeout_s: float
    drain_delay_s: float
    drain_s: float


@dataclass(slots=True, frozen=True)
class Settings:
    """Validated settings of a router."""

    name: str
    address: str
    failure_domain: str
    callers_port: int
    peers_port: int
    operators_port: int
    platform: str
    placement: str
    claim_shards: int
    limits: Limits
    timings: Timings
    callers_tls: TlsFiles | None
    peers_tls: TlsFiles | None
    statsd: str | None
    seeds: tuple[str, ...]


def load_settings(path: str) -> Settings:
    """Read and validate a settings file; raise InvalidFileError with all errors."""
    try:
        text = Path(path).read_text()
    except OSError as error:
        diagnostic = Diagnostic(
            path, "-", "-", str(error), "give the path of a readable settings file"
        )
        raise InvalidFileError([diagnostic]) from error
    return read_settings(path, text)


def read_settings(file: str, text: str) -> Settings:
    """Validate the text of a settings file; raise InvalidFileError with all errors."""
    reader = Reader(file, text)
    router = reader.section("router", required=True)
    platform = reader.section("platform", required=True)
    metrics = reader.section("metrics")
    settings = Settings(
        name=router.text("name"),
        address=router.text("address"),
        failure_domain=router.text("failure-domain"),
        callers_port=router.integer("callers-port", 1, 65535),
        peers_port=router.integer("peers-port", 1, 65535),
        operators_port=router.integer("operators-port", 1, 65535),
        placement=router.choice("placement", ("owner", "quota", "hash", "two-choices"), "owner"),
        platform=platform.endpoint("address"),
        claim_shards=platform.integer("claim-shards", 1, 4096, 16),
        limits=read_limits(reader, platform),
        timings=read_timings(reader),
        callers_tls=read_tls(reader, "callers-tls", authority=False),
        peers_tls=read_tls(reader, "peers-tls", authority=True),
        statsd=metrics.endpoint("statsd", None),
        seeds=router.read("seeds", parse_endpoints, "endpoints IP:PORT separated by commas", ()),
    )
    for section in (router, platform, metrics):
        section.finish()
    reader.finish()
    return settings


def parse_endpoints(text: str) -> tuple[str, ...]:
    """Parse endpoints that are separated by commas."""
    return tuple(parse_endpoint(part) for part in text.split(","))


def read_limits(reader: Reader, platform) -> Limits:
    """Return the limits of a router."""
    section = reader.section("limits")
    limits = Limits(
        body_bytes=section.integer("body-bytes", 1024, 64 * MEBIBYTE, 4 * MEBIBYTE),
        header_bytes=section.integer("header-bytes", 1024, 65536, 16384),
        requests=section.integer("requests", 1, 100_000, 4096),
        platform_calls_per_s=platform.number("calls-per-second", 0.1, 1000, 20.0),
        traces=section.integer("traces", 1, 100_000, 2000),
        process=ProcessLimits(
            memory_bytes=section.integer(
                "memory-bytes", 96 * MEBIBYTE, 1 << 40, DEFAULT_MEMORY_BYTES
            ),
            descriptors=section.integer("descriptors", 300, 1 << 30, open_file_limit()),
        ),
    )
    section.finish()
    return limits


def read_timings(reader: Reader) -> Timings:
    """Return the periods and timeouts of a router."""
    section = reader.section("timings")
    timings = Timings(
        probe_period_s=section.seconds("probe-period", 0.02, 60, 1.0),
        probe_timeout_s=section.seconds("probe-timeout", 0.02, 10, 0.5),
        suspicion_timeout_s=section.seconds("suspect", 0.05, 60, 2.0),
        owner_answer_timeout_s=section.seconds("owner-answer", 0.01, 5, 0.25),
        poll_period_s=section.seconds("poll-period", 0.05, 60, 2.0),
        router_poll_period_s=section.seconds("router-period", 0.05, 60, 2.0),
        watch_timeout_s=section.seconds("watch", 0.2, 60, 1.0),
        platform_timeout_s=section.seconds("platform-timeout", 0.05, 30, 1.0),
        connect_timeout_s=section.seconds("connect", 0.05, 30, 1.0),
        drain_delay_s=section.seconds("drain-delay", 0, 60, 2.0),
        drain_s=section.seconds("drain", 1, 3600, 300.0),
    )
    section.finish()
    return timings


def read_tls(reader: Reader, name: str, authority: bool) -> TlsFiles | None:
    """Return the TLS files of a listener, or None (no TLS) if its section is absent."""
    if not reader.parser.has_section(name):
        return None
    section = reader.section(name)
    files = TlsFiles(
        certificate=section.text("certificate"),
        key=section.text("key"),
        authority=section.text("authority") if authority else None,
    )
    for key in ("certificate", "key", "authority"):
        path = getattr(files, key)
        if path and not Path(path).is_file():
            section.report(key, f"{path!r} is not a file", "give the path of a readable PEM file")
    section.finish()
    return files
