"""Slow start: an endpoint that has just started gets no more than a budget allows.

A server that is still warming up fails under a load that a warm one bears, so the budgets of all balancers
together must stay below the load that would push it over.
"""

from __future__ import annotations

from balancer.context import DecisionContext
from balancer.endpoints import Endpoint, EndpointTable
from balancer.in_flight import InFlightTracker
from balancer.moving_average import DecayingRate
from balancer.subset_size import subset_size

# Fraction of the load that would push a server over at which its budget fills.
BUDGET_FILL_FRACTION = 0.5
# Fraction of that load, over the overload window, that may be sent at once.
BUDGET_BURST_FRACTION = 0.18
# Rates are averaged over this many overload windows.
RATE_WINDOWS = 2.0


class SlowStart:
    """Budgets of endpoints that are warming up, in requests of mean cost."""

    def __init__(
        self, context: DecisionContext, endpoints: EndpointTable, in_flight: InFlightTracker
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._in_flight = in_flight
        self._guarantees = context.settings.guarantees
        self._duration_us = self._guarantees.slow_start_us
        window_us = RATE_WINDOWS * self._guarantees.overload_window_us
        self._arrivals = DecayingRate(window_us)
        self._warm_responses = DecayingRate(window_us)
        self._first_attempts = DecayingRate(window_us)
        self._warm_capacity = 0.0  # requests for each microsecond, as of `_warm_capacity_at`
        self._mean_nominal_capacity = 1.0
        self._warm_capacity_at = -1

    def record_arrival(self) -> None:
        """Count a request of a client."""
        self._arrivals.add(self._context.now, 1.0)

    def record_response(self, endpoint: Endpoint) -> None:
        """Count a response, if a warm server sent it."""
        if not self.is_warming_up(endpoint):
            self._warm_responses.add(self._context.now, 1.0)

    def record_attempt(self, endpoint: Endpoint, relative_cost: float, *, is_first: bool) -> None:
        """Take a sent attempt from the endpoint's budget.

        Retries are no evidence of capacity: they would make budgets of what servers reject.
        """
        endpoint.slow_start_budget -= relative_cost
        self._first_attempts.add(self._context.now, float(is_first))

    def begin(self, endpoint: Endpoint, since: int) -> None:
        """Let an endpoint warm up from clock time `since` on.

        The budget begins at random: from zero, those of all balancers would be full at the same time.
        """
        endpoint.slow_start_since = since
        endpoint.slow_start_budget = self._context.random_stream.random()
        endpoint.slow_start_budget_at = self._context.now

    def is_warming_up(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint may still be unable to bear its full share."""
        since = endpoint.slow_start_since
        return since is not None and self._context.now < since + self._duration_us

    def capacity_fraction(self, endpoint: Endpoint) -> float:
        """The least fraction of its capacity that the endpoint has by now."""
        since = endpoint.slow_start_since
        if since is None or not self.is_warming_up(endpoint):
            return 1.0
        initial = self._guarantees.slow_start_initial_capacity
        age_us = max(self._context.now - since, 0)
        return initial + (1.0 - initial) * age_us / self._duration_us

    def has_budget(self, endpoint: Endpoint, relative_cost: float) -> bool:
        """Whether a request of this cost may be sent; always so for a warm endpoint.

        The budget fills with a fraction of what would push the server over, judged by what this balancer's
        warm servers serve for it.  All balancers doing so stay below the limit.
        """
        if not self.is_warming_up(endpoint):
            return True
        guarantees = self._guarantees
        now = self._context.now
        capacity = self._estimate_warm_capacity()
        if self._mean_nominal_capacity > 0.0:
            capacity *= min(endpoint.nominal_capacity / self._mean_nominal_capacity, 1.0)
        limit = guarantees.overload_multiple * self.capacity_fraction(endpoint) * capacity
        max_budget = max(1.0, BUDGET_BURST_FRACTION * limit * guarantees.overload_window_us)
        added = BUDGET_FILL_FRACTION * limit * max(now - endpoint.slow_start_budget_at, 0)
        endpoint.slow_start_budget = min(endpoint.slow_start_budget + added, max_budget)
        endpoint.slow_start_budget_at = now
        return endpoint.slow_start_budget >= min(relative_cost, max_budget)

    def _warm_endpoints(self) -> list[Endpoint]:
        """The available endpoints that are not warming up; walks the complete list, so it computes little."""
        warm_if_since = self._context.now - self._duration_us
        return [
            endpoint
            for endpoint in self._endpoints.available
            if endpoint.slow_start_since is None or endpoint.slow_start_since <= warm_if_since
        ]

    def _estimate_warm_capacity(self) -> float:
        """What a warm server serves for this balancer; computed once for each clock time."""
        now = self._context.now
        if self._warm_capacity_at != now:
            self._warm_capacity_at = now
            available = self._endpoints.available
            warm = self._warm_endpoints()
            peers = warm or available  # ejected ones too: they served a part of what is counted
            served = self._warm_responses if warm else self._arrivals
            size = subset_size(self._in_flight.mean)
            per_server = served.per_us(now) / max(min(len(peers), size), 1)
            # Overloaded warm servers serve little, and a new balancer has seen none serve: an even part of
            # what is sent is bearable too, or the warming up would starve while the warm are overloaded.
            even_part = self._first_attempts.per_us(now) / max(min(len(available), size), 1)
            self._warm_capacity = max(per_server, even_part)
            total_nominal = sum(endpoint.nominal_capacity for endpoint in peers)
            self._mean_nominal_capacity = total_nominal / max(len(peers), 1)
        return self._warm_capacity
