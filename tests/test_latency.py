"""Unit tests of latency estimates."""

from __future__ import annotations

import pytest
from component_factories import make_context, make_endpoint, make_request
from helpers import IDEMPOTENT, MS

from balancer.endpoints import EndpointTable
from balancer.in_flight import InFlightTracker
from balancer.latency import LatencyEstimator


def test_relative_latency_is_higher_for_a_slower_endpoint() -> None:
    context = make_context()
    endpoints = EndpointTable(context)
    latency = LatencyEstimator(context, endpoints, InFlightTracker(context))
    quick, slow = make_endpoint("quick"), make_endpoint("slow")
    for _ in range(40):
        latency.record_response(quick, make_request(), 20 * MS)
        latency.record_response(slow, make_request(), 60 * MS)
    assert slow.relative_latency > 2 * quick.relative_latency


def test_relative_latency_rises_with_an_error() -> None:
    context = make_context()
    latency = LatencyEstimator(context, EndpointTable(context), InFlightTracker(context))
    endpoint = make_endpoint()
    latency.record_error(endpoint, make_request())
    assert endpoint.relative_latency > 1.0


@pytest.mark.parametrize("hint", [None, 0, -5])
def test_relative_cost_is_one_without_a_valid_cost_hint(hint: int | None) -> None:
    context = make_context()
    latency = LatencyEstimator(context, EndpointTable(context), InFlightTracker(context))
    assert latency.relative_cost(IDEMPOTENT, hint) == 1.0
