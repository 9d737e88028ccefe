"""Unit tests of the counts of attempts in flight."""

from __future__ import annotations

from component_factories import make_context, make_endpoint
from helpers import MS, START, S

from balancer.in_flight import InFlightTracker
from balancer.requests import Attempt


def test_in_flight_counts_an_abandoned_attempt_for_as_long_as_it_was_waited_for() -> None:
    context = make_context()
    in_flight = InFlightTracker(context)
    attempt = Attempt(0, make_endpoint(), START, 0)
    in_flight.start(attempt)
    assert in_flight.finish(attempt) and not in_flight.finish(attempt)
    in_flight.abandon(attempt.endpoint, 300 * MS)
    assert in_flight.total() == in_flight.at_endpoint(attempt.endpoint) == 1
    context.begin_event(START + 300 * MS)
    assert in_flight.total() == in_flight.at_endpoint(attempt.endpoint) == 0


def test_in_flight_leaves_ejected_endpoints_out_of_the_total() -> None:
    in_flight = InFlightTracker(make_context())
    attempt = Attempt(0, make_endpoint(), START, 0)
    in_flight.start(attempt)
    attempt.endpoint.ejected_until = START + S
    in_flight.record_ejection(attempt.endpoint)
    assert in_flight.total() == 0
    in_flight.finish(attempt)
    assert in_flight.total() == 0
