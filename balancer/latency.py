"""Latency estimates by kind of request, and the latency of each endpoint relative to these estimates."""

from __future__ import annotations

from balancer.context import DecisionContext
from balancer.endpoints import Endpoint, EndpointTable
from balancer.in_flight import InFlightTracker
from balancer.requests import Request
from balancer.settings import ServiceClass

# Weight of one response in an endpoint's relative latency, an average of about ten responses.  The step grows
# where few requests are in flight, so that fewer responses are averaged.
RELATIVE_LATENCY_STEP = 0.1
# Upper limit for the relative latency of a single response.
MAX_RELATIVE_LATENCY = 4.0
# Weight of one request in the latency estimate and the mean cost, averages of about fifty requests.
ESTIMATE_STEP = 0.02
# The latency estimate before the first response, in latency objectives.
INITIAL_ESTIMATE_OBJECTIVES = 0.3


class LatencyEstimator:
    """Moving averages of latency by service class and cost, and of the relative latency by endpoint."""

    def __init__(
        self, context: DecisionContext, endpoints: EndpointTable, in_flight: InFlightTracker
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._in_flight = in_flight
        self._estimates_us: dict[tuple[str, int], float] = {}  # by service class and cost bucket
        self._mean_cost_us: dict[str, float] = {}  # by service class

    def relative_cost(self, service_class: ServiceClass, cost_us: int | None) -> float:
        """Return a request's cost relative to the mean of its class; 1 if the client gave no cost hint."""
        if not cost_us or cost_us < 0:
            return 1.0
        mean = self._mean_cost_us.get(service_class.name, float(cost_us))
        self._mean_cost_us[service_class.name] = mean + ESTIMATE_STEP * (cost_us - mean)
        return cost_us / mean if mean > 0 else 1.0

    def estimate_us(self, request: Request) -> float:
        """Return the latency estimate for a request of this class and cost, over all endpoints."""
        service_class = request.service_class
        initial_us = INITIAL_ESTIMATE_OBJECTIVES * service_class.latency_objective_us
        return self._estimates_us.get((service_class.name, request.cost_bucket), initial_us)

    def record_response(self, endpoint: Endpoint, request: Request, elapsed_us: int) -> None:
        """Update the estimates by a response; the first one of its kind sets the latency estimate."""
        kind = (request.service_class.name, request.cost_bucket)
        estimate_us = self._estimates_us.setdefault(kind, float(elapsed_us))
        self._record(endpoint, request, elapsed_us)
        self._estimates_us[kind] = estimate_us + ESTIMATE_STEP * (elapsed_us - estimate_us)

    def record_missing_response(self, endpoint: Endpoint, request: Request, waited_us: int) -> None:
        """Count an attempt without a response as one that took `waited_us`, if that exceeds the estimate."""
        if waited_us > self.estimate_us(request) * endpoint.relative_latency:
            self._record(endpoint, request, waited_us)

    def record_error(self, endpoint: Endpoint, request: Request) -> None:
        """Count an error as a response of maximal latency, so that quick errors do not attract requests."""
        self._record(endpoint, request, int(MAX_RELATIVE_LATENCY * self.estimate_us(request)))

    def _record(self, endpoint: Endpoint, request: Request, elapsed_us: int) -> None:
        ratio = min(elapsed_us / max(self.estimate_us(request), 1.0), MAX_RELATIVE_LATENCY)
        step = RELATIVE_LATENCY_STEP * self._in_flight.averaging_factor()
        self._endpoints.adjust_latency(endpoint, step * (ratio - endpoint.relative_latency))
