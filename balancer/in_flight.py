"""Counts of the attempts in flight of a balancer: total, mean over time, and by endpoint."""

from __future__ import annotations

import heapq
import math

from balancer.context import DecisionContext
from balancer.endpoints import Endpoint
from balancer.requests import Attempt

# An abandoned attempt counts as in flight for this multiple of the time that was waited for its response.
ABANDONED_FACTOR = 1.0
# With fewer requests in flight than this on average, observations are uncertain and averaged over longer
# times ...
SIGNIFICANT_IN_FLIGHT = 8.0
# ... by up to this factor.
MAX_AVERAGING_FACTOR = 4.0


class InFlightTracker:
    """Running counts of attempts in flight, which are needed at every event.

    Abandoned attempts stay included for a while, because their servers may still be working on them.
    Attempts at ejected endpoints are not included in the total.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._count = 0
        self._count_at_ejected = 0
        self._abandoned_until: list[int] = []  # a heap
        self.mean = 0.0  # moving average of `total`
        self._mean_at = 0

    def total(self) -> int:
        """Return the attempts in flight at endpoints that are not ejected, including abandoned attempts."""
        abandoned = self._abandoned_until
        while abandoned and abandoned[0] <= self._context.now:
            heapq.heappop(abandoned)
        return self._count - self._count_at_ejected + len(abandoned)

    def at_endpoint(self, endpoint: Endpoint) -> int:
        """Return the attempts in flight at one endpoint, including abandoned attempts.

        Without abandoned attempts, a slow or hung server would look idle once its attempts were cancelled.
        """
        if endpoint.abandoned_until:
            now = self._context.now
            endpoint.abandoned_until = [until for until in endpoint.abandoned_until if until > now]
        return endpoint.in_flight + len(endpoint.abandoned_until)

    def start(self, attempt: Attempt) -> None:
        """Count an attempt whose server has the complete request."""
        attempt.is_in_flight = True
        attempt.endpoint.in_flight += 1
        self._count += 1
        self._count_at_ejected += attempt.endpoint.ejected_until is not None

    def finish(self, attempt: Attempt) -> bool:
        """Stop counting an attempt whose server owes no response any more; return whether it was counted."""
        if not attempt.is_in_flight:
            return False
        attempt.is_in_flight = False
        attempt.endpoint.in_flight -= 1
        self._count -= 1
        self._count_at_ejected -= attempt.endpoint.ejected_until is not None
        return True

    def abandon(self, endpoint: Endpoint, waited_us: int) -> None:
        """Count an attempt that ended without a response as in flight for a while longer."""
        until = self._context.now + int(ABANDONED_FACTOR * waited_us)
        endpoint.abandoned_until.append(until)
        if endpoint.ejected_until is None:
            heapq.heappush(self._abandoned_until, until)

    def record_ejection(self, endpoint: Endpoint) -> None:
        """Remove the endpoint's attempts from the total."""
        self._count_at_ejected += endpoint.in_flight

    def record_readmission(self, endpoint: Endpoint) -> None:
        """Add the endpoint's attempts to the total again."""
        self._count_at_ejected -= endpoint.in_flight

    def averaging_factor(self) -> float:
        """Return the factor on averaging times: 1 in a busy balancer, more with few requests in flight."""
        return max(1.0, min(SIGNIFICANT_IN_FLIGHT / max(self.mean, 1e-9), MAX_AVERAGING_FACTOR))

    def uncertainty(self) -> float:
        """Return how uncertain observations are, from 0 in a busy balancer to 1 in an idle one."""
        return (self.averaging_factor() - 1.0) / (MAX_AVERAGING_FACTOR - 1.0)

    def update_mean(self, concurrency_window: float) -> None:
        """Update the mean up to the current time.

        The mean is limited to the larger of the total and the concurrency window; a higher mean would delay
        the end of an overload.
        """
        elapsed_us = self._context.now - self._mean_at
        if elapsed_us <= 0:
            return
        self._mean_at = self._context.now
        span_us = self.averaging_factor() * self._context.longest_objective_us
        total = self.total()
        self.mean = min(self.mean, max(total, concurrency_window, 1.0))
        self.mean += (total - self.mean) * (1.0 - math.exp(-elapsed_us / span_us))
