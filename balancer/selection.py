"""Endpoint selection: best of k random endpoints of a subset, by requests in flight.

See M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001).  After "full" responses
twice as many endpoints are drawn each time.
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

# Endpoints drawn: counts are mostly small in one balancer, where two choices find too little.
CHOICES = 4
# Exponent of the relative latency for a request of four times the mean cost or more.
MAX_LATENCY_EXPONENT = 3.0
# Weight of an endpoint in another zone while the own zone is as quick.
MIN_REMOTE_WEIGHT = 0.25
# All zones weigh the same once the own zone's latency is this far beyond that of the others ...
EVEN_LATENCY_EXCESS = 0.3
# ... or the typical latency ratio is twice this.
BUSY_LATENCY_RATIO = 0.12
# A class keeps off an endpoint that answered "full" for so many of the longest latency objective ...
FULL_BACKOFF_OBJECTIVES = 0.5
# ... and for twice as long at each further one in a row, up to this.
MAX_FULL_BACKOFF_OBJECTIVES = 4.0


class _Slots:
    """The part of a subset that is for endpoints of the own zone, or for those of all others."""

    __slots__ = ("_places_left", "_size_left")

    def __init__(self, size: int) -> None:
        self._places_left = size
        self._size_left = size

    def pass_by(self) -> bool:
        """Go on to the next endpoint; return whether it is among as many first ones as there are slots."""
        self._places_left -= 1
        return self._places_left >= 0

    def take(self) -> bool:
        """Use a slot; return whether there was one left."""
        self._size_left -= 1
        return self._size_left >= 0


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
        """Return the drawn endpoint with the fewest attempts in flight; None if none is eligible."""
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
        """Keep a service class off an endpoint that was full for it.

        Servers may reject one class or tenant while they have capacity for others.  Also spares redraws where
        servers reject early.  The backoff gives way where no other endpoint is left.
        """
        backoff = endpoint.full_backoffs.setdefault(class_name, FullBackoff())
        if backoff.objectives:
            backoff.objectives = min(2.0 * backoff.objectives, MAX_FULL_BACKOFF_OBJECTIVES)
        else:
            backoff.objectives = FULL_BACKOFF_OBJECTIVES
        backoff.until = self._context.time_after(backoff.objectives)

    def record_response(self, endpoint: Endpoint, class_name: str) -> None:
        """End the backoff of a service class at an endpoint that answered it."""
        endpoint.full_backoffs.pop(class_name, None)

    def _subset(self, request: Request) -> list[Endpoint]:
        """The first eligible endpoints in this balancer's own order, of both zones where crossing has a cost.

        Endpoints that are warming up are taken only from the very first: further ones are in the budgets of
        other balancers.
        """
        size = subset_size(self._in_flight.mean)
        local_size = remote_size = size
        if self._context.settings.costs.cross_zone > 0.0:
            remote_fraction = self._current_remote_weight() * self._endpoints.remote_fraction
            remote_size = max(round(size * remote_fraction), 1)
            local_size = size - remote_size
        return self._fill_subset(request, size, _Slots(local_size), _Slots(remote_size))

    def _fill_subset(self, request: Request, size: int, local: _Slots, remote: _Slots) -> list[Endpoint]:
        class_name = request.service_class.name
        subset: list[Endpoint] = []
        spare: list[Endpoint] = []  # beyond the slots of their zone
        backed_off: list[Endpoint] = []
        for endpoint in self._endpoints.available:
            slots = local if self._endpoints.is_local(endpoint) else remote
            if not slots.pass_by() and self._slow_start.is_warming_up(endpoint):
                continue
            if not self._is_eligible(endpoint, request):
                continue
            if self._is_backed_off(endpoint, class_name):
                backed_off.append(endpoint)
                continue
            (subset if slots.take() else spare).append(endpoint)
            if len(subset) >= size:
                break
        subset += spare[: size - len(subset)]
        return subset or backed_off[:size]

    def _is_eligible(self, endpoint: Endpoint, request: Request) -> bool:
        if endpoint.ejected_until is not None:
            return False
        if request.attempts:
            if endpoint in request.failed_endpoints or not self._retries.is_in_scope(request, endpoint):
                return False
            if any(attempt.is_pending and attempt.endpoint is endpoint for attempt in request.attempts):
                return False  # a hedged request goes elsewhere
        if endpoint.slow_start_since is None:
            return True
        return self._slow_start.has_budget(endpoint, request.relative_cost)

    def _is_backed_off(self, endpoint: Endpoint, class_name: str) -> bool:
        backoff = endpoint.full_backoffs.get(class_name)
        return backoff is not None and self._context.now < backoff.until

    def _weight(self, endpoint: Endpoint, exponent: float) -> float:
        """Slower endpoints weigh less: with few requests most counts are zero, and the draw decides.

        Still less for heavy requests, which only quick servers can answer in time.
        """
        latency = math.pow(max(endpoint.relative_latency, 1.0 / MAX_RELATIVE_LATENCY), exponent)
        if endpoint.slow_start_since is None:
            return 1.0 / latency
        return self._slow_start.capacity_fraction(endpoint) / latency

    def _draw(self, pool: list[Endpoint], weights: list[float], count: int) -> list[Endpoint]:
        """Draw distinct endpoints by their weights, in random order."""
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
        """The weight of endpoints in other zones, computed once for each clock time."""
        if self._remote_weight_at != self._context.now:
            self._remote_weight_at = self._context.now
            self._remote_weight = self._compute_remote_weight()
        return self._remote_weight

    def _compute_remote_weight(self) -> float:
        """Endpoints of other zones weigh less while the own zone is as quick as theirs.

        Spares crossings without the trap of a zone that has more traffic than servers: as the own zone's
        latency rises, or responses come late anywhere, the weights even out.
        """
        if self._context.settings.costs.cross_zone <= 0.0 or not self._window.has_spare_capacity():
            return 1.0  # capacity anywhere is worth more than a crossing
        zones = self._endpoints.zone_latency()
        if not zones.local_count or not zones.remote_count or zones.remote_sum <= 0.0:
            return 1.0
        local_mean = zones.local_sum / zones.local_count
        remote_mean = zones.remote_sum / zones.remote_count
        excess = (local_mean / remote_mean - 1.0) / EVEN_LATENCY_EXCESS
        # The busier the fleet, the less may any zone be uneven.
        busyness = (self._window.latency_ratio - BUSY_LATENCY_RATIO) / BUSY_LATENCY_RATIO
        return max(MIN_REMOTE_WEIGHT, min(max(excess, busyness), 1.0))
