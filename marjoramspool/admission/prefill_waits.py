"""Waits for the prefill of requests at the engines of each service."""

from marjoramspool import hashing
from marjoramspool.admission.load_shedding import PrefillPressure, PrefillRate, Shed, shed_request
from marjoramspool.placement.placements import Placement
from marjoramspool.requests import RoutedRequest

__all__ = ["PrefillWaits"]


class PrefillWaits:
    """Prefill rates of the services' engines, and whether these are under pressure."""

    __slots__ = ("pressures", "rates")

    def __init__(self):
        self.rates: dict[str, PrefillRate] = {}
        self.pressures: dict[str, PrefillPressure] = {}

    def rate(self, service: str) -> PrefillRate:
        """Return the prefill rate of a service's engines."""
        return self.rates.setdefault(service, PrefillRate())

    def pressure(self, service: str) -> PrefillPressure:
        """Return whether a service's engines are under pressure."""
        return self.pressures.setdefault(service, PrefillPressure())

    def shed(
        self, request: RoutedRequest, queued_tokens: int, prefill_tokens: int, rank: int
    ) -> Shed | None:
        """Return a `Shed` if a request would wait too long at the best engine, else None.

        `queued_tokens` are to be prefilled there before those of the request.
        """
        rate = self.rate(request.service)
        remaining_s = request.remaining_s()
        patience_s = min(request.route.first_event_timeout_s, remaining_s)
        pressure = self.pressure(request.service)
        pressure.record(rate.prefill_time_s(queued_tokens), patience_s)
        return shed_request(
            rank,
            rate.prefill_time_s(queued_tokens + prefill_tokens),
            request.route.first_event_timeout_s,
            remaining_s,
            hashing.fraction(request.id),
            request.priority if pressure.is_pressed() else None,
        )

    def record_first_event(self, placement: Placement, waited_s: float) -> None:
        """Update the prefill rate with the time until the first event of an answer."""
        if placement.cache_source is None and placement.is_overtaken:
            tokens = placement.choice.engine.load.prefill_tokens + placement.prefill_tokens
            self.rate(placement.engine.service).record(tokens, waited_s)
