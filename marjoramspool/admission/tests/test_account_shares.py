"""Division of a capacity: guards against shares by order of arrival and against unused capacity."""

import math

from marjoramspool.admission.account_shares import Demand, divide


def admitted_per_s(capacity_per_s, *demands):
    shares = divide(capacity_per_s, demands)
    return [round(shares.admitted_part(demand) * demand.per_s, 6) for demand in demands]


def test_hot_account_gets_what_small_ones_leave():
    assert admitted_per_s(120.0, Demand(1, 200.0), Demand(1, 10.0), Demand(1, 10.0)) == [
        100,
        10,
        10,
    ]


def test_accounts_that_all_want_more_get_equal_parts_by_weight():
    assert admitted_per_s(90.0, Demand(1, 100.0), Demand(1, 50.0, weight=2.0)) == [40, 50]
    assert admitted_per_s(90.0, Demand(1, 100.0), Demand(1, 100.0, weight=2.0)) == [30, 60]


def test_urgent_accounts_are_served_before_others():
    demands = Demand(0, 70.0), Demand(1, 70.0), Demand(2, 70.0)
    assert admitted_per_s(100.0, *demands) == [70, 30, 0]
    assert divide(100.0, demands).level(5) == 0.0


def test_demand_below_capacity_is_admitted_whole():
    assert admitted_per_s(100.0, Demand(1, 60.0), Demand(2, 40.0)) == [60, 40]
    assert divide(100.0, ()).level(3) == math.inf
    assert divide(math.inf, [Demand(1, 5.0)]).level(1) == math.inf
