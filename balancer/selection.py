"""Endpoint selection: best of k random endpoints of a subset, by requests in flight.

See M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001).  Each "full" response to
a request doubles the number of endpoints drawn for its next attempt.
"""

from __future__ import annotations

import math

from balancer.concurrency_window import ConcurrencyWindow
from balancer.context import DecisionContext
from balancer.endpoints import Endpoint, EndpointTable, FullBackoff
from balancer.in_flight import InFlightTracker
from balancer.latency import MAX_RELATIVE_LATENCY
from balancer.requests import Request
from balancer.retry_policy import RetryPolicy
from balancer.slow_start import SlowStart
from balancer.subset_size import subset_size

# Endpoints drawn for an attempt.  More than two, because most endpoints have few or no requests in flight
# from one balancer, and two such counts often do not differ.
CHOICES = 4
# Exponent of the relative latency for a request of four times the mean cost or more.
MAX_LATENCY_EXPONENT = 3.0
# Weight of an endpoint in another zone while the local zone is as fast.
MIN_REMOTE_WEIGHT = 0.25
# All zones have the same weight once the local zone's latency exceeds that of the others by this fraction ...
EVEN_LATENCY_EXCESS = 0.3
# ... or once the mean latency ratio is twice this.
BUSY_LATENCY_RATIO = 0.12
# Backoff of a service class after the first "full" response of an endpoint, in multiples of the longest
# latency objective ...
FULL_BACKOFF_OBJECTIVES = 0.5
# ... which doubles with each further consecutive one up to this limit.
MAX_FULL_BACKOFF_OBJECTIVES = 4.0


class _ZoneSlots:
    """The slots of a subset for endpoints of the local zone, or for endpoints of all other zones."""

    __slots__ = ("_candidates_left", "_slots_left")

    def __init__(self, size: int) -> None:
        self._candidates_left = size
        self._slots_left = size

    def next_candidate(self) -> bool:
        """Count a candidate; return whether it is one of the first `size` candidates."""
        self._candidates_left -= 1
        return self._candidates_left >= 0

    def take(self) -> bool:
        """Take a slot; return whether one was left."""
        self._slots_left -= 1
        return self._slots_left >= 0


class EndpointSelector:
    """Selects the endpoint of an attempt."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: EndpointTable,
        in_flight: InFlightTracker,
        window: ConcurrencyWindow,
        slow_start: SlowStart,
        retries: RetryPolicy,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._in_flight = in_flight
        self._window = window
        self._slow_start = slow_start
        self._retries = retries
        self._remote_weight = 1.0  # as of `_remote_weight_at`
        self._remote_weight_at = -1

    def select(self, request: Request) -> Endpoint | None:
        """Return the drawn endpoint with the fewest attempts in flight; None if no endpoint is eligible."""
        pool = self._subset(request)
        if not pool:
            return None
        remote_weight = self._current_remote_weight()
        exponent = min(max(1.0, float(request.cost_bucket)), MAX_LATENCY_EXPONENT)
        zone = self._context.settings.zone
        weights = [
            self._weight(endpoint, exponent) * (1.0 if endpoint.zone == zone else remote_weight)
            for endpoint in pool
        ]
        best: Endpoint | None = None
        best_load = (0, 0.0)
        for endpoint in self._draw(pool, weights, CHOICES << request.full_responses):
            in_flight = self._in_flight.at_endpoint(endpoint)
            if best is None or (in_flight, endpoint.relative_latency) < best_load:
                best, best_load = endpoint, (in_flight, endpoint.relative_latency)
        return best

    def record_full(self, endpoint: Endpoint, class_name: str) -> None:
        """Start or prolong the backoff of a service class at an endpoint that answered "full".

        The backoff is per class, because servers may reject one class or tenant while they have capacity for
        others.  It also saves redraws where servers reject early.  It is ignored if no other endpoint is
        left.
        """
        backoff = endpoint.full_backoffs.setdefault(class_name, FullBackoff())
        if backoff.objectives:
            backoff.objectives = min(2.0 * backoff.objectives, MAX_FULL_BACKOFF_OBJECTIVES)
        else:
            backoff.objectives = FULL_BACKOFF_OBJECTIVES
        backoff.until = self._context.jittered_time_after(backoff.objectives)

    def record_response(self, endpoint: Endpoint, class_name: str) -> None:
        """End the backoff of a service class at an endpoint that answered a request of it."""
        endpoint.full_backoffs.pop(class_name, None)

    def _subset(self, request: Request) -> list[Endpoint]:
        """Return the first eligible endpoints in this balancer's order.

        If cross-zone requests have a cost, local and remote endpoints have separate numbers of slots.
        Endpoints that are warming up are taken only from the first candidates, as many as there are slots:
        those further down are in the subsets, and so in the slow-start budgets, of other balancers.
        """
        size = subset_size(self._in_flight.mean)
        local_size = remote_size = size
        if self._context.settings.costs.cross_zone > 0.0:
            remote_fraction = self._current_remote_weight() * self._endpoints.remote_fraction
            remote_size = max(round(size * remote_fraction), 1)
            local_size = size - remote_size
        return self._fill_subset(request, size, _ZoneSlots(local_size), _ZoneSlots(remote_size))

    def _fill_subset(
        self, request: Request, size: int, local: _ZoneSlots, remote: _ZoneSlots
    ) -> list[Endpoint]:
        class_name = request.service_class.name
        subset: list[Endpoint] = []
        surplus: list[Endpoint] = []  # eligible, but without a slot of their zone
        backed_off: list[Endpoint] = []
        for endpoint in self._endpoints.available:
            slots = local if self._endpoints.is_local(endpoint) else remote
            if not slots.next_candidate() and self._slow_start.is_warming_up(endpoint):
                continue
            if not self._is_eligible(endpoint, request):
                continue
            if self._is_backed_off(endpoint, class_name):
                backed_off.append(endpoint)
                continue
            (subset if slots.take() else surplus).append(endpoint)
            if len(subset) >= size:
                break
        subset += surplus[: size - len(subset)]
        return subset or backed_off[:size]

    def _is_eligible(self, endpoint: Endpoint, request: Request) -> bool:
        if endpoint.ejected_until is not None:
            return False
        if request.attempts:
            if endpoint in request.failed_endpoints or not self._retries.is_in_scope(request, endpoint):
                return False
            if any(attempt.is_pending and attempt.endpoint is endpoint for attempt in request.attempts):
                return False  # a hedged request must go to another endpoint
        if endpoint.slow_start_since is None:
            return True
        return self._slow_start.has_budget(endpoint, request.relative_cost)

    def _is_backed_off(self, endpoint: Endpoint, class_name: str) -> bool:
        backoff = endpoint.full_backoffs.get(class_name)
        return backoff is not None and self._context.now < backoff.until

    def _weight(self, endpoint: Endpoint, exponent: float) -> float:
        """Return the weight of an endpoint in the draw, which is lower for slower endpoints.

        With few requests in flight most counts are zero, so the draw alone decides.  Slower endpoints get an
        even lower weight for requests of high cost, which only fast servers can answer in time.
        """
        latency = math.pow(max(endpoint.relative_latency, 1.0 / MAX_RELATIVE_LATENCY), exponent)
        if endpoint.slow_start_since is None:
            return 1.0 / latency
        return self._slow_start.capacity_fraction(endpoint) / latency

    def _draw(self, pool: list[Endpoint], weights: list[float], count: int) -> list[Endpoint]:
        """Draw up to `count` distinct endpoints one by one, each with a probability by its weight."""
        drawn = []
        left = list(range(len(pool)))
        total = sum(weights)
        for _ in range(min(count, len(pool))):
            point = self._context.random_stream.random() * total
            position = 0
            while position < len(left) - 1 and point >= weights[left[position]]:
                point -= weights[left[position]]
                position += 1
            index = left.pop(position)
            total -= weights[index]
            drawn.append(pool[index])
        return drawn

    def _current_remote_weight(self) -> float:
        """Return the weight of endpoints in other zones, computed once for each clock time."""
        if self._remote_weight_at != self._context.now:
            self._remote_weight_at = self._context.now
            self._remote_weight = self._compute_remote_weight()
        return self._remote_weight

    def _compute_remote_weight(self) -> float:
        """Return a weight below 1 while the local zone is as fast as the others.

        This avoids cross-zone requests without overloading a zone that has too few servers for its traffic:
        the weight rises to 1 as the local zone's latency rises, or as the latency ratio rises in any zone.
        """
        if self._context.settings.costs.cross_zone <= 0.0 or not self._window.has_spare_capacity():
            return 1.0  # capacity in any zone is worth the cost of a cross-zone request
        zones = self._endpoints.zone_latency()
        if not zones.local_count or not zones.remote_count or zones.remote_sum <= 0.0:
            return 1.0
        local_mean = zones.local_sum / zones.local_count
        remote_mean = zones.remote_sum / zones.remote_count
        excess = (local_mean / remote_mean - 1.0) / EVEN_LATENCY_EXCESS
        # The busier the fleet, the more evenly all zones are used.
        load = (self._window.latency_ratio - BUSY_LATENCY_RATIO) / BUSY_LATENCY_RATIO
        return max(MIN_REMOTE_WEIGHT, min(max(excess, load), 1.0))
