"""Makes the objects that unit tests of single components of the balancer need."""

from __future__ import annotations

from helpers import IDEMPOTENT, START, S, settings

from balancer.context import DecisionContext
from balancer.endpoints import Endpoint
from balancer.events import EndpointState
from balancer.requests import Attempt, Request
from balancer.settings import ServiceClass, Settings


def make_context(balancer_settings: Settings | None = None, seed: int = 7) -> DecisionContext:
    context = DecisionContext(balancer_settings or settings(), seed)
    context.begin_event(START)
    return context


def make_endpoint(name: str = "10.0.0.1:80", zone: str = "east", cell: int = 0) -> Endpoint:
    endpoint = Endpoint(name, 0.5)
    endpoint.zone, endpoint.cell, endpoint.state = zone, cell, EndpointState.READY
    return endpoint


def make_request(service_class: ServiceClass = IDEMPOTENT, *sent_to: Endpoint) -> Request:
    request = Request(1, service_class, START + 2 * S, 1.0, has_streamed_body=False)
    request.attempts = [Attempt(index, endpoint, START, 0) for index, endpoint in enumerate(sent_to)]
    return request
