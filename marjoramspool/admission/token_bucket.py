"""Token bucket and retry budget."""

import time

__all__ = ["RetryBudget", "TokenBucket"]


class TokenBucket:
    """Rate limiter that allows bursts of up to `burst` tokens."""

    __slots__ = ("burst", "clock", "rate_per_s", "refilled_at", "tokens")

    def __init__(self, rate_per_s: float, burst: float, clock=time.monotonic):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.clock = clock
        self.tokens = burst
        self.refilled_at = clock()

    def refill(self) -> None:
        """Add the tokens accrued since the last refill."""
        now = self.clock()
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate_per_s)
        self.refilled_at = now

    def try_consume(self, amount: float = 1.0) -> bool:
        """Consume tokens if enough are available; return whether they were consumed."""
        self.refill()
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def borrow(self, amount: float) -> float:
        """Consume tokens that may not have accrued yet; return the seconds until they have."""
        self.refill()
        self.tokens -= amount
        return max(0.0, -self.tokens / self.rate_per_s)

    def wait_s(self, amount: float = 1.0) -> float:
        """Return the seconds until enough tokens will be available."""
        self.refill()
        return max(0.0, (amount - self.tokens) / self.rate_per_s)


class RetryBudget:
    """Limit of retries to a fraction of first attempts, so that failures cannot multiply load."""

    __slots__ = ("balance", "fraction", "reserve")

    def __init__(self, fraction: float, reserve: float = 5.0):
        self.fraction = fraction
        self.reserve = reserve
        self.balance = reserve

    def record_request(self) -> None:
        """Add the share of a first attempt to the budget, up to twice the reserve."""
        self.balance = min(self.reserve * 2, self.balance + self.fraction)

    def try_consume(self) -> bool:
        """Consume one retry if the budget allows it; return whether it was consumed."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
