"""Virtual time: calls in the order of their moments."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

__all__ = ["VirtualTime"]


class VirtualTime:
    """Run calls at their moments; an instance is a clock in seconds."""

    __slots__ = ("calls", "numbers", "seconds")

    def __init__(self):
        self.seconds = 0.0
        self.calls: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = count()

    def __call__(self) -> float:
        """Return the seconds since the start."""
        return self.seconds

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Run a call after a delay."""
        heappush(self.calls, (self.seconds + delay_s, next(self.numbers), call))

    def run(self, until_s: float) -> None:
        """Run all calls up to a moment."""
        while self.calls and self.calls[0][0] <= until_s:
            self.seconds, _, call = heappop(self.calls)
            call()
        self.seconds = until_s
