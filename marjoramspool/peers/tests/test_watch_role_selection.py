"""Who watches the store in a large fleet, while those who do it fall silent."""

from marjoramspool.peers.directory import Directory
from marjoramspool.peers.relays import select_store_watchers
from marjoramspool.peers.watch_roles import WatchRoles
from marjoramspool.store_replicas.store_watcher import WatchRole

PEERS = 40
# A router that polls from then on has a new state within the 3 s that are promised.
NOTICE_S = 1.6


class Fleet:
    """One router that knows forty others by relayed heartbeats, on a clock of its own."""

    def __init__(self):
        self.now_s = 100.0
        self.behind_s = 0.0
        self.directory = Directory("10.0.0.1", "a", 1000, lambda: self.now_s)
        self.roles = WatchRoles(self.directory, lambda: True, lambda: self.behind_s)
        self.addresses = [f"10.0.1.{number}" for number in range(PEERS)]
        self.hear(self.addresses)

    def hear(self, addresses):
        for number, address in enumerate(addresses):
            self.directory.record_heartbeat(address, "ab"[number % 2], is_relayed=True)

    def passes(self, seconds, heard=()):
        end = self.now_s + seconds
        while self.now_s < end:
            self.now_s += 0.3
            self.hear(heard)


def passive_fleet():
    fleet = Fleet()
    # Whoever ranks behind many others is passive; this router is made to by its own outage.
    fleet.roles.has_store = lambda: False
    assert fleet.roles.find() is WatchRole.PASSIVE
    return fleet


def test_a_router_that_hears_the_watchers_makes_no_calls():
    fleet = passive_fleet()
    fleet.passes(10.0, fleet.addresses)
    assert fleet.roles.current() is WatchRole.PASSIVE


def test_a_router_that_hears_nobody_polls_before_heartbeats_run_out():
    fleet = passive_fleet()
    fleet.passes(NOTICE_S)
    assert fleet.directory.live_peers()
    assert fleet.roles.current() is WatchRole.STANDBY


def test_a_router_that_hears_all_but_the_watchers_polls():
    """The four that watch end together, as in the loss of a rack."""
    fleet = passive_fleet()
    watchers = select_store_watchers(fleet.directory, has_store=False)
    fleet.passes(NOTICE_S, [a for a in fleet.addresses if a not in watchers])
    assert fleet.roles.current() is WatchRole.STANDBY


def test_a_router_that_cannot_fetch_what_it_has_heard_of_polls():
    fleet = passive_fleet()
    fleet.behind_s = NOTICE_S
    assert fleet.roles.find() is WatchRole.STANDBY
    fleet.behind_s = 0.0
    assert fleet.roles.find() is WatchRole.PASSIVE
