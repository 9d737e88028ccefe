"""Latency estimates: the usual latency of each kind of request, and how each endpoint compares to it."""

from __future__ import annotations

from balancer.context import DecisionContext
from balancer.endpoints import Endpoint, EndpointTable
from balancer.in_flight import InFlightTracker
from balancer.requests import Request
from balancer.settings import ServiceClass

# The relative latency follows about the last ten responses, or fewer where few are in flight.
RELATIVE_LATENCY_STEP = 0.1
# One response counts for at most this many usual ones.
MAX_RELATIVE_LATENCY = 4.0
# The usual latency and cost follow about the last fifty requests.
USUAL_STEP = 0.02
# The usual latency before any response, as a part of the latency objective.
INITIAL_LATENCY_OBJECTIVES = 0.3


class LatencyEstimator:
    """Moving averages of latency by service class and cost, and relative to these by endpoint."""

    def __init__(
        self, context: DecisionContext, endpoints: EndpointTable, in_flight: InFlightTracker
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._in_flight = in_flight
        self._usual_us: dict[tuple[str, int], float] = {}  # by service class and cost bucket
        self._mean_cost_us: dict[str, float] = {}  # by service class

    def relative_cost(self, service_class: ServiceClass, cost_us: int | None) -> float:
        """A request's cost relative to the mean of its class; 1 where the client gave no hint."""
        if not cost_us or cost_us < 0:
            return 1.0
        mean = self._mean_cost_us.get(service_class.name, float(cost_us))
        self._mean_cost_us[service_class.name] = mean + USUAL_STEP * (cost_us - mean)
        return cost_us / mean if mean > 0 else 1.0

    def usual_us(self, request: Request) -> float:
        """The usual latency of such a request, over all endpoints."""
        service_class = request.service_class
        initial = INITIAL_LATENCY_OBJECTIVES * service_class.latency_objective_us
        return self._usual_us.get((service_class.name, request.cost_bucket), initial)

    def record_response(self, endpoint: Endpoint, request: Request, elapsed_us: int) -> None:
        """Learn from a response; the first of its kind is taken to be usual."""
        kind = (request.service_class.name, request.cost_bucket)
        usual = self._usual_us.setdefault(kind, float(elapsed_us))
        self._record(endpoint, request, elapsed_us)
        self._usual_us[kind] = usual + USUAL_STEP * (elapsed_us - usual)

    def record_missing_response(self, endpoint: Endpoint, request: Request, waited_us: int) -> None:
        """Learn from an attempt that ended without a response, if it was waited for longer than usual."""
        if waited_us > self.usual_us(request) * endpoint.relative_latency:
            self._record(endpoint, request, waited_us)

    def record_error(self, endpoint: Endpoint, request: Request) -> None:
        """Count an error as the slowest response there is: quick errors must not attract requests."""
        self._record(endpoint, request, int(MAX_RELATIVE_LATENCY * self.usual_us(request)))

    def _record(self, endpoint: Endpoint, request: Request, elapsed_us: int) -> None:
        ratio = min(elapsed_us / max(self.usual_us(request), 1.0), MAX_RELATIVE_LATENCY)
        step = RELATIVE_LATENCY_STEP * self._in_flight.averaging_factor()
        self._endpoints.change_latency(endpoint, step * (ratio - endpoint.relative_latency))
