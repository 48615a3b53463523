"""What a router keeps of the versions at which streams began, and who else keeps it."""

from marjoramspool.streams.stream_origins import (
    AMBIGUOUS,
    MAX_STREAMS,
    REPLICAS,
    RETENTION_S,
    StreamOrigins,
    select_replicas,
)

DOMAINS = {f"10.0.{n % 4}.{n}": f"zone-{n % 4}" for n in range(40)}


class FakeClock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def test_an_origin_is_kept_for_a_time_from_its_last_record():
    clock = FakeClock()
    origins = StreamOrigins(clock)
    origins.record(1, "v1")
    clock.now = 0.9 * RETENTION_S
    assert origins.find(1) == "v1"
    origins.record(1, "v1")
    clock.now = 1.8 * RETENTION_S
    assert origins.find(1) == "v1"
    clock.now = 3 * RETENTION_S
    assert origins.find(1) is None
    origins.record(2, "v1")
    assert list(origins.recorded) == [2]


def test_a_key_is_ambiguous_while_two_versions_are_recorded():
    clock = FakeClock()
    origins = StreamOrigins(clock)
    for version in ("v1", "v2", "v1"):
        origins.record(1, version)
    assert origins.find(1) == AMBIGUOUS
    clock.now = 0.9 * RETENTION_S
    origins.record(1, "v2")
    assert origins.find(1) == AMBIGUOUS
    clock.now = 1.1 * RETENTION_S
    assert origins.find(1) == "v2"


def test_memory_is_bounded():
    origins = StreamOrigins(FakeClock())
    for stream in range(MAX_STREAMS + 100):
        origins.record(stream, "v1")
    assert len(origins.recorded) == MAX_STREAMS
    assert origins.find(0) is None


def test_replicas_are_in_different_domains_and_mostly_the_same_in_other_views():
    for stream in range(1, 1000):
        replicas = select_replicas(stream, DOMAINS, REPLICAS)
        assert len({DOMAINS[address] for address in replicas}) == REPLICAS
        without_first = {a: d for a, d in DOMAINS.items() if a != replicas[0]}
        assert set(replicas[1:]) <= set(select_replicas(stream, without_first, REPLICAS + 2))
    assert select_replicas(1, {"a": "z"}, REPLICAS) == ["a"]
    assert select_replicas(1, {}, REPLICAS) == []
