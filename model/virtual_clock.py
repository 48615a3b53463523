"""Virtual clock with an event queue."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

__all__ = ["VirtualClock"]


class VirtualClock:
    """Discrete-event scheduler; calling an instance returns the virtual time in seconds."""

    __slots__ = ("events", "sequence_numbers", "now_s")

    def __init__(self):
        self.now_s = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence_numbers = count()

    def __call__(self) -> float:
        """Return the virtual time in seconds since the start."""
        return self.now_s

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        heappush(self.events, (self.now_s + delay_s, next(self.sequence_numbers), callback))

    def run_until(self, until_s: float) -> None:
        """Run all events up to a time, in time order, and advance the clock to it."""
        while self.events and self.events[0][0] <= until_s:
            self.now_s, _, callback = heappop(self.events)
            callback()
        self.now_s = until_s
