"""Division of a service's capacity among client accounts, by urgency and water filling.

Load pattern: one account asks for several times what a service can run. Served in order of arrival,
it takes nearly all of it, and accounts that ask for little are refused as often as it is.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["Demand", "Shares", "divide"]


@dataclass(slots=True, frozen=True)
class Demand:
    """Requests per second that an account wants at one priority; 0 is the most urgent."""

    priority: int
    per_s: float
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class Shares:
    """Requests per second for each unit of weight, by priority; infinite where all are served."""

    levels: dict[int, float]

    def level(self, priority: int) -> float:
        """Return the level of a priority, also of one that nobody wanted so far."""
        if priority in self.levels:
            return self.levels[priority]
        urgent = (level for other, level in self.levels.items() if other < priority)
        return 0.0 if min(urgent, default=math.inf) < math.inf else math.inf

    def admitted_part(self, demand: Demand) -> float:
        """Return the part of an account's requests that is admitted, from 0 to 1."""
        allowed_per_s = demand.weight * self.level(demand.priority)
        return 1.0 if allowed_per_s >= demand.per_s else allowed_per_s / demand.per_s


def divide(capacity_per_s: float, demands: Iterable[Demand]) -> Shares:
    """Return the shares of accounts in a capacity, the most urgent priority first."""
    by_priority: dict[int, list[Demand]] = {}
    for demand in demands:
        by_priority.setdefault(demand.priority, []).append(demand)
    levels = {}
    left_per_s = capacity_per_s
    for priority in sorted(by_priority):
        wanted_per_s = sum(demand.per_s for demand in by_priority[priority])
        if wanted_per_s <= left_per_s:
            levels[priority] = math.inf
            left_per_s -= wanted_per_s
        else:
            levels[priority] = fill_level(left_per_s, by_priority[priority])
            left_per_s = 0.0
    return Shares(levels)


def fill_level(capacity_per_s: float, demands: list[Demand]) -> float:
    """Return the rate for each unit of weight at which a capacity below the demand is used up."""
    ascending = sorted(demands, key=lambda demand: demand.per_s / demand.weight)
    weight = sum(demand.weight for demand in ascending)
    for demand in ascending:
        if demand.per_s * weight > capacity_per_s * demand.weight:
            break
        capacity_per_s -= demand.per_s
        weight -= demand.weight
    return capacity_per_s / weight if weight > 0.0 else math.inf
