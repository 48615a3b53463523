"""Token buckets for budgets and retry limits."""

import time

__all__ = ["RetryBudget", "TokenBucket"]


class TokenBucket:
    """Allow a steady rate with bursts."""

    __slots__ = ("burst", "clock", "rate_per_s", "refilled_at", "tokens")

    def __init__(self, rate_per_s: float, burst: float, clock=time.monotonic):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.clock = clock
        self.tokens = burst
        self.refilled_at = clock()

    def refill(self) -> None:
        """Add the tokens that time has earned."""
        now = self.clock()
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate_per_s)
        self.refilled_at = now

    def try_consume(self, amount: float = 1.0) -> bool:
        """Take tokens if they are there."""
        self.refill()
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def wait_s(self, amount: float = 1.0) -> float:
        """Return the seconds until the tokens will be there."""
        self.refill()
        return max(0.0, (amount - self.tokens) / self.rate_per_s)


class RetryBudget:
    """Allow retries as a fraction of first tries, so that failures cannot multiply load."""

    __slots__ = ("balance", "fraction", "reserve")

    def __init__(self, fraction: float, reserve: float = 5.0):
        self.fraction = fraction
        self.reserve = reserve
        self.balance = reserve

    def record_request(self) -> None:
        """Count a first try."""
        self.balance = min(self.reserve * 2, self.balance + self.fraction)

    def try_consume(self) -> bool:
        """Take one retry if the budget allows it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
