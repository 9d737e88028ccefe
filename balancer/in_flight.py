"""Counts of the attempts that a balancer has in flight, in total, on average and at each endpoint."""

from __future__ import annotations

import heapq
import math

from balancer.context import DecisionContext
from balancer.endpoints import Endpoint
from balancer.requests import Attempt

# An abandoned attempt counts as in flight for as long again as it was waited for.
ABANDONED_FACTOR = 1.0
# With fewer requests in flight than this, much of what is observed is chance.
SIGNIFICANT_IN_FLIGHT = 8.0
# Averages are then taken over longer spans, up to this factor.
MAX_AVERAGING_FACTOR = 4.0


class InFlightTracker:
    """Running counts of attempts in flight, since they are needed at every event.

    Abandoned attempts are included for a while, since they may well run on at their servers.  Attempts at
    ejected endpoints are left out of the total.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._count = 0
        self._count_at_ejected = 0
        self._abandoned_until: list[int] = []  # a heap
        self.mean = 0.0  # of `total`, over time
        self._mean_at = 0

    def total(self) -> int:
        """Attempts in flight at endpoints that are not ejected, abandoned ones included."""
        abandoned = self._abandoned_until
        while abandoned and abandoned[0] <= self._context.now:
            heapq.heappop(abandoned)
        return self._count - self._count_at_ejected + len(abandoned)

    def at_endpoint(self, endpoint: Endpoint) -> int:
        """Attempts in flight at one endpoint, abandoned ones included.

        Without those a slow or hung server would look empty once its attempts were cancelled.
        """
        if endpoint.abandoned_until:
            now = self._context.now
            endpoint.abandoned_until = [until for until in endpoint.abandoned_until if until > now]
        return endpoint.in_flight + len(endpoint.abandoned_until)

    def start(self, attempt: Attempt) -> None:
        """A server has the complete request of this attempt."""
        attempt.is_in_flight = True
        attempt.endpoint.in_flight += 1
        self._count += 1
        self._count_at_ejected += attempt.endpoint.ejected_until is not None

    def finish(self, attempt: Attempt) -> bool:
        """A server owes nothing for this attempt any more; return whether it did."""
        if not attempt.is_in_flight:
            return False
        attempt.is_in_flight = False
        attempt.endpoint.in_flight -= 1
        self._count -= 1
        self._count_at_ejected -= attempt.endpoint.ejected_until is not None
        return True

    def abandon(self, endpoint: Endpoint, waited_us: int) -> None:
        """Keep counting an attempt that ended without a response."""
        until = self._context.now + int(ABANDONED_FACTOR * waited_us)
        endpoint.abandoned_until.append(until)
        if endpoint.ejected_until is None:
            heapq.heappush(self._abandoned_until, until)

    def record_ejection(self, endpoint: Endpoint) -> None:
        """What the endpoint holds no longer counts in the total."""
        self._count_at_ejected += endpoint.in_flight

    def record_readmission(self, endpoint: Endpoint) -> None:
        """What the endpoint holds counts in the total again."""
        self._count_at_ejected -= endpoint.in_flight

    def averaging_factor(self) -> float:
        """How much longer than in a busy balancer it takes here to tell a change from chance; from 1."""
        return max(1.0, min(SIGNIFICANT_IN_FLIGHT / max(self.mean, 1e-9), MAX_AVERAGING_FACTOR))

    def uncertainty(self) -> float:
        """How much of what is observed is chance, from 0 in a busy balancer to 1 in an idle one."""
        return (self.averaging_factor() - 1.0) / (MAX_AVERAGING_FACTOR - 1.0)

    def update_mean(self, concurrency_window: float) -> None:
        """Follow the total up to the current time; a mean beyond the window would delay relief."""
        elapsed_us = self._context.now - self._mean_at
        if elapsed_us <= 0:
            return
        self._mean_at = self._context.now
        span_us = self.averaging_factor() * self._context.longest_objective_us
        total = self.total()
        self.mean = min(self.mean, max(total, concurrency_window, 1.0))
        self.mean += (total - self.mean) * (1.0 - math.exp(-elapsed_us / span_us))
