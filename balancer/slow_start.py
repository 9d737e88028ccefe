"""Slow start: limits the requests to an endpoint that has just started by a budget.

A server that is still warming up fails under a load that a warm server can handle, so the budgets of all
balancers together must stay below the overload limit of the server.
"""

from __future__ import annotations

from balancer.context import DecisionContext
from balancer.endpoints import Endpoint, EndpointTable
from balancer.in_flight import InFlightTracker
from balancer.moving_average import DecayingRate
from balancer.subset_size import subset_size

# Rate at which the budget of a server fills, as a fraction of its overload limit.
BUDGET_FILL_FRACTION = 0.5
# Maximum of the budget, as a fraction of the load of one overload window at the overload limit.
BUDGET_BURST_FRACTION = 0.18
# Averaging time of rates, in overload windows.
RATE_WINDOWS = 2.0


class SlowStart:
    """Keeps the budgets of endpoints that are warming up, in requests of mean cost."""

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
        self._warm_capacity = 0.0  # requests per microsecond, as of `_warm_capacity_at`
        self._mean_nominal_capacity = 1.0
        self._warm_capacity_at = -1

    def record_arrival(self) -> None:
        """Count a client request."""
        self._arrivals.add(self._context.now, 1.0)

    def record_response(self, endpoint: Endpoint) -> None:
        """Count a response if the endpoint is not warming up."""
        if not self.is_warming_up(endpoint):
            self._warm_responses.add(self._context.now, 1.0)

    def record_attempt(self, endpoint: Endpoint, relative_cost: float, *, is_first: bool) -> None:
        """Subtract a sent attempt from the endpoint's budget, and count it if it is a first attempt.

        Only first attempts count towards the estimate of capacity: with retries included, requests that
        servers reject would increase the budgets.
        """
        endpoint.slow_start_budget -= relative_cost
        self._first_attempts.add(self._context.now, float(is_first))

    def begin(self, endpoint: Endpoint, since: int) -> None:
        """Start the warming up of an endpoint at clock time `since`.

        The initial budget is random; if it were zero, the budgets of all balancers would be full at the same
        time.
        """
        endpoint.slow_start_since = since
        endpoint.slow_start_budget = self._context.random_stream.random()
        endpoint.slow_start_budget_at = self._context.now

    def is_warming_up(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint may still be unable to handle its full share of the load."""
        since = endpoint.slow_start_since
        return since is not None and self._context.now < since + self._duration_us

    def capacity_fraction(self, endpoint: Endpoint) -> float:
        """Return the guaranteed fraction of its capacity that the endpoint has at the current time."""
        since = endpoint.slow_start_since
        if since is None or not self.is_warming_up(endpoint):
            return 1.0
        initial = self._guarantees.slow_start_initial_capacity
        age_us = max(self._context.now - since, 0)
        return initial + (1.0 - initial) * age_us / self._duration_us

    def has_budget(self, endpoint: Endpoint, relative_cost: float) -> bool:
        """Whether a request of this cost may be sent to the endpoint; always true unless it is warming up.

        The budget fills at a fraction of the overload limit, estimated by the rate at which warm servers
        answer requests of this balancer.  As every balancer uses only its own rate, their sum stays below the
        limit.
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
        """Return the available endpoints that are not warming up.

        Compares start times instead of calling `is_warming_up`, which would be slow on a long list.
        """
        warm_if_since = self._context.now - self._duration_us
        return [
            endpoint
            for endpoint in self._endpoints.available
            if endpoint.slow_start_since is None or endpoint.slow_start_since <= warm_if_since
        ]

    def _estimate_warm_capacity(self) -> float:
        """Return the rate at which one warm server answers this balancer; computed once per clock time."""
        now = self._context.now
        if self._warm_capacity_at != now:
            self._warm_capacity_at = now
            available = self._endpoints.available
            warm = self._warm_endpoints()
            # Includes ejected endpoints, which sent a part of the counted responses.
            counted_endpoints = warm or available
            served = self._warm_responses if warm else self._arrivals
            size = subset_size(self._in_flight.mean)
            per_server = served.per_us(now) / max(min(len(counted_endpoints), size), 1)
            # Overloaded warm servers answer few requests, and a new balancer has seen no responses yet.  So
            # an even share of the first attempts is used as a lower limit; without it, servers that are
            # warming up would stay idle while the warm ones are overloaded.
            even_share = self._first_attempts.per_us(now) / max(min(len(available), size), 1)
            self._warm_capacity = max(per_server, even_share)
            total_nominal = sum(endpoint.nominal_capacity for endpoint in counted_endpoints)
            self._mean_nominal_capacity = total_nominal / max(len(counted_endpoints), 1)
        return self._warm_capacity
