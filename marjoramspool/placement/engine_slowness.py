"""Cost of a request at a model engine that is slower than usual.

Load pattern: engines that have long prompt parts cached become slow for less than a second. Their
load costs more meanwhile, but prefilling the parts elsewhere costs more than that.
"""

__all__ = ["scaled_cost"]

# An engine counts as slower than usual by at most this factor.
MAX_COST_FACTOR = 3.0


def scaled_cost(cost: int, request_cost: int, slowness: float) -> int:
    """Return the cost of a request at an engine of some slowness, in prefilled tokens.

    `cost` is that of the load and the prefill at the usual speed, `request_cost` that of the
    request itself, which is slowed too.
    """
    if slowness == 1.0:
        return cost
    return int((cost + request_cost) * min(MAX_COST_FACTOR, slowness)) - request_cost
