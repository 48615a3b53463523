"""Placement under the load patterns that it answers."""

from collections import Counter, deque
from dataclasses import replace
from heapq import heappop, heappush
from random import Random

from marjoramspool.cost_placement import (
    REQUEST_COST_TOKENS,
    Candidate,
    UnreportedLoad,
    choose_engine,
)
from marjoramspool.engine_loads import EngineLoads, Load
from marjoramspool.prefix_caches import EngineCache
from marjoramspool.prompts import Part, Prompt
from marjoramspool.shared_parts import SharedParts
from marjoramspool.unreported_load import HotParts, WorkRate, first_unfilled, water_level

CHAIN = (Part(1, 500), Part(2, 10_000))


def candidate(name, requests=0, unread=0, held=0, **options):
    return Candidate(name, Load(requests, unread), held, **options)


def test_a_subject_stays_where_it_is_held():
    engines = [candidate("a"), candidate("b", requests=3, held=10_500), candidate("c")]
    assert choose_engine(engines, 7, 11_000).engine.name == "b"


def test_a_small_subject_leaves_a_busy_holder_sooner_than_a_large_one():
    def chosen(held):
        engines = [candidate("a", requests=2), candidate("b", requests=9, held=held)]
        return choose_engine(engines, 7, held + 100).engine.name

    assert chosen(10_000) == "b"
    assert chosen(300) == "a"


def test_a_prompt_keeps_away_from_an_engine_that_has_much_to_read():
    engines = [candidate("a", unread=12_000), candidate("b", requests=3)]
    assert choose_engine(engines, 7, 1_000).engine.name == "b"


def test_routers_that_know_nothing_agree_on_an_engine():
    engines = [candidate(name) for name in "abcde"]
    for key in range(50):
        first = choose_engine(engines, key, 1_000).engine.name
        assert choose_engine(list(reversed(engines)), key, 1_000).engine.name == first


def test_a_hot_subject_does_not_carry_its_holder_over_the_bound():
    loads = EngineLoads()
    names = [f"e{number}" for number in range(5)]
    for _ in range(100):
        engines = [Candidate(name, loads.of(name), 10_500 if name == "e0" else 0) for name in names]
        chosen = choose_engine(engines, 7, 11_000)
        loads.begin(chosen.engine.name, 0)
        mean = sum(loads.of(name).requests for name in names) / len(names)
        assert loads.of("e0").requests <= 2 * mean + 3


def test_new_subjects_spread_over_the_engines():
    engines = [candidate(name) for name in "abcde"]
    counts = Counter(choose_engine(engines, key, 1_000).engine.name for key in range(500))
    assert max(counts.values()) < 2 * min(counts.values())


def test_there_is_no_choice_without_engines():
    assert choose_engine([], 7, 100) is None


def test_a_chain_is_held_only_up_to_its_first_gap():
    cache = EngineCache(20_000)
    cache.use(CHAIN)
    assert cache.held(CHAIN) == 10_500
    assert cache.held((Part(9, 100), *CHAIN)) == 0
    assert cache.held((CHAIN[0], Part(9, 100), CHAIN[1])) == 500


def test_the_least_recently_used_subject_gives_way_and_the_shared_start_stays():
    cache = EngineCache(21_000)
    for subject in (2, 3, 4):
        cache.use((Part(1, 500), Part(subject, 10_000)))
    assert cache.held((Part(1, 500), Part(2, 10_000))) == 500
    assert cache.held((Part(1, 500), Part(4, 10_000))) == 10_500
    assert cache.total <= 21_000


def prompt(last):
    return Prompt("m", 100, 10, (Part(1, 50), Part(last, 50)))


def test_last_parts_are_remembered_only_where_they_return():
    shared = SharedParts()
    for number in range(200):
        assert len(shared.select_shareable(prompt(1000 + number), f"r{number}")) == 1
    for number in range(200):
        parts = shared.select_shareable(prompt(5000 + number % 10), f"s{number}")
    assert len(parts) == 2


def test_a_repeat_of_one_request_is_no_return():
    shared = SharedParts()
    for number in range(200):
        shared.select_shareable(prompt(number // 2), f"r{number // 2}")
    assert shared.reuse_ratio == 0.0


def test_what_routers_tell_is_summed_and_forgotten_with_them():
    loads = EngineLoads()
    loads.begin("a", 100)
    loads.tell("x", {"a": Load(2, 50)})
    loads.tell("x", {"a": Load(3, 0)})
    assert loads.of("a") == Load(4, 100)
    loads.tell("y", {"a": Load(1, 10), "b": Load(1, 0)})
    assert (loads.of("a"), loads.of("b")) == (Load(5, 110), Load(1, 0))
    loads.tell("y", {})
    loads.forget_router("x")
    assert not loads.sums
    loads.note_read("a", 100)
    assert loads.of("a") == Load(1, 0)
    loads.end("a")
    assert loads.of("a") == Load(0, 0)


def test_a_subject_that_is_being_read_is_not_read_again_elsewhere():
    reading = candidate("a", requests=1, unread=10_500, held=10_500)
    others = [candidate(name, cached_elsewhere_tokens=10_500) for name in "bcde"]
    for key in range(50):
        assert choose_engine([reading, *others], key, 10_600).engine.name == "a"


def test_a_long_queue_of_reading_outweighs_what_is_held():
    busy = candidate("a", requests=3, unread=30_000, held=10_500)
    assert (
        choose_engine([busy, candidate("b", cached_elsewhere_tokens=10_500)], 7, 10_600).engine.name
        == "b"
    )


class Burst:
    """Play a burst on routers that hear of each other's loads late."""

    ROUTERS, ENGINES, RATE, SECONDS, TELL_S = 71, 30, 1500, 1.5, 0.17

    def __init__(self, unseen_s, crowd_s=0.0, hot_share=0.0):
        self.crowd_s = crowd_s
        self.hot_share = hot_share
        self.random = Random(5)
        self.unseen_s = unseen_s * (self.ROUTERS - 1)
        self.clock = 0.0
        self.names = [f"engine-{number}" for number in range(self.ENGINES)]
        self.held = EngineLoads()
        self.shown = [EngineLoads() for _ in range(self.ROUTERS)]
        self.sent = [WorkRate(lambda: self.clock) for _ in range(self.ROUTERS)]
        self.hot_parts = HotParts(lambda: self.clock)
        self.asked = deque()
        self.ends = []
        self.tells = [(self.random.random() * self.TELL_S, r, {}) for r in range(self.ROUTERS)]

    def share_over_bound(self, after_s=0.0):
        """Return the share of requests that meet an engine far above the mean."""
        for _ in range(int(self.RATE * after_s)):
            self.request()
        count = int(self.RATE * self.SECONDS)
        return sum(self.request() for _ in range(count)) / count

    def request(self):
        self.clock += 1 / self.RATE
        while self.ends and self.ends[0][0] <= self.clock:
            _, router, name = heappop(self.ends)
            self.held.end(name)
            self.shown[router].end(name)
        while self.tells[0][0] <= self.clock:
            self.tell(*heappop(self.tells)[1:])
        router = self.random.randrange(self.ROUTERS)
        name = self.place(router)
        mean = sum(self.held.of(other).requests for other in self.names) / self.ENGINES
        is_over = self.held.of(name).requests > 2 * mean + 3
        for loads in (self.held, self.shown[router]):
            loads.begin(name, 0)
        heappush(self.ends, (self.clock + self.random.uniform(0.2, 0.6), router, name))
        return is_over

    def place(self, router):
        loads, sent = self.shown[router], self.sent[router]
        subject = 7 if self.random.random() < self.hot_share else self.random.getrandbits(60)
        # One engine holds the hot subject.
        tokens = 3000 if subject == 7 else 500
        candidates = [
            Candidate(name, loads.of(name), tokens - 500 if name == "engine-3" else 0)
            for name in self.names
        ]
        self.asked.append((self.clock, subject))
        while self.asked[0][0] < self.clock - self.TELL_S:
            self.hot_parts.record([self.asked.popleft()[1]])
        crowd = self.hot_parts.rate_per_s(subject) * self.crowd_s
        unreported = UnreportedLoad(sent.rate_per_s() * self.unseen_s, crowd, self.random.random())
        sent.record(500 + REQUEST_COST_TOKENS)
        return choose_engine(candidates, subject, tokens, unreported).engine.name

    def tell(self, router, loads):
        for other, shown in enumerate(self.shown):
            if other != router:
                shown.tell(str(router), loads)
        own = {name: replace(load) for name, load in self.shown[router].own.items()}
        heappush(self.tells, (self.clock + self.TELL_S, router, own))


def test_a_burst_that_loads_do_not_show_yet_spreads_over_the_engines():
    # The bound for all routers together is 3 in 100.
    assert Burst(unseen_s=0.25).share_over_bound() < 0.03
    assert Burst(unseen_s=0.0).share_over_bound() > 0.03, "the naive way would be seen"


def test_a_crowd_for_one_subject_spreads_over_the_engines_next_to_its_holder():
    crowd = {"unseen_s": 0.25, "hot_share": 0.3}
    assert Burst(**crowd, crowd_s=0.5).share_over_bound(after_s=0.7) < 0.03
    assert Burst(**crowd).share_over_bound(after_s=0.7) > 0.03, "the naive way would be seen"


def test_unseen_requests_fill_the_first_engines_up_to_their_bound():
    assert first_unfilled([2.0, 3.0], unreported=0.0, draw=0.9) == 0
    assert first_unfilled([2.0, 3.0], unreported=4.0, draw=0.4) == 0
    assert first_unfilled([2.0, 3.0], unreported=4.0, draw=0.6) == 1
    assert first_unfilled([2.0, 3.0], unreported=9.0, draw=0.9) == 0, "all are full alike"


def test_subjects_that_are_asked_for_no_longer_are_forgotten():
    clock = [0.0]
    hot_parts = HotParts(lambda: clock[0])
    for part in range(4000):
        clock[0] += 0.01
        hot_parts.record([part, 1])
    assert hot_parts.rate_per_s(1) > 50
    assert len(hot_parts.parts) <= 1024


def test_work_fills_the_cheapest_engines_first():
    assert water_level([10.0, 20.0, 100.0], 0.0) == 10.0
    assert water_level([10.0, 20.0, 100.0], 30.0) == 30.0
    assert water_level([10.0, 20.0, 100.0], 170.0) == 100.0
    assert water_level([10.0, 20.0, 100.0], 200.0) == 110.0


def test_work_sent_long_ago_is_forgotten():
    clock = [0.0]
    sent = WorkRate(lambda: clock[0])
    for _ in range(100):
        clock[0] += 0.1
        sent.record(100)
    assert 900 < sent.rate_per_s() < 1100
    clock[0] += 10.0
    assert sent.rate_per_s() < 1
