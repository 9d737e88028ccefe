"""Attempts that take longer than expected: silent endpoints are left, and requests hedged or moved.

Guards against servers that accept requests and answer none, long before deadlines would show it.  A server
that answered anything since is slow and not silent; if others are as silent, the fleet is overloaded.
"""

from __future__ import annotations

import math
from enum import Enum, unique

from balancer.concurrency_window import ConcurrencyWindow
from balancer.connection_reuse import ConnectionReuse
from balancer.context import DecisionContext
from balancer.endpoints import Endpoint
from balancer.latency import LatencyEstimator
from balancer.outlier_detection import EjectionReason, OutlierDetector
from balancer.requests import Attempt, Request
from balancer.retry_policy import RetryPolicy
from balancer.scheduler import Scheduler

# An attempt has timed out after this many usual latencies, at its endpoint's relative latency ...
TIMEOUT_LATENCIES = 2.5
# ... but never sooner than this part of the latency objective: short latencies are mostly jitter.
MIN_TIMEOUT_OBJECTIVES = 0.1
# After this many timeouts an endpoint that answered nothing since is silent ...
SILENCE_TIMEOUTS = 2.0
# ... but never before this part of the latency objective ...
MIN_SILENCE_OBJECTIVES = 0.5
# ... and only if so many responses came from others since the attempt was sent.
MIN_RESPONSES_OF_OTHERS = 4


@unique
class TimeoutStep(Enum):
    """What to do about an attempt that has timed out."""

    WAIT = "wait"
    HEDGE = "hedge"
    CANCEL = "cancel"  # its end leads to a retry


class AttemptTimeouts:
    """Sets the timeouts of attempts and judges those that have passed."""

    def __init__(
        self,
        context: DecisionContext,
        scheduler: Scheduler,
        latency: LatencyEstimator,
        window: ConcurrencyWindow,
        connections: ConnectionReuse,
        outliers: OutlierDetector,
        retries: RetryPolicy,
    ) -> None:
        self._context = context
        self._scheduler = scheduler
        self._latency = latency
        self._window = window
        self._connections = connections
        self._outliers = outliers
        self._retries = retries

    def start(self, request: Request, attempt: Attempt) -> None:
        """Set the timeout of an attempt whose server has the complete request now."""
        due = self._context.now + self._timeout_us(request, attempt.endpoint)
        self._scheduler.schedule_attempt(due, request.request_id, attempt.index)

    def _timeout_us(self, request: Request, endpoint: Endpoint) -> int:
        expected_us = (
            TIMEOUT_LATENCIES * self._latency.usual_us(request) * max(endpoint.relative_latency, 1.0)
        )
        least_us = MIN_TIMEOUT_OBJECTIVES * request.service_class.latency_objective_us
        return int(max(expected_us, least_us, self._context.settings.clock_resolution_us))

    def check(self, request: Request, attempt: Attempt) -> TimeoutStep:
        """Judge a pending attempt whose timeout has passed, and decide what to do about its request."""
        self._check_objective(request, attempt)
        is_silent = self._check_silence(request, attempt)
        if request.has_streamed_body or not self._retries.has_attempts_left(request):
            return TimeoutStep.WAIT
        if not is_silent or not self._retries.has_budget():
            return TimeoutStep.WAIT
        limits = self._context.settings.limits
        if limits.hedged_requests:
            return TimeoutStep.HEDGE
        return TimeoutStep.CANCEL if limits.may_cancel_attempts else TimeoutStep.WAIT

    def _check_objective(self, request: Request, attempt: Attempt) -> None:
        """Count the attempt as late once it has missed the latency objective, or look again then."""
        objective_us = request.service_class.latency_objective_us
        if self._context.now - attempt.sent_at < objective_us:
            due = attempt.sent_at + objective_us
            self._scheduler.schedule_attempt(due, request.request_id, attempt.index)
            return
        is_endpoint_known_bad = attempt.endpoint.ejected_until is not None
        if attempt.is_counted_late or is_endpoint_known_bad or attempt.is_blamed_on_idle_connection:
            return
        attempt.is_counted_late = True
        self._window.record_missing_response()

    def _check_silence(self, request: Request, attempt: Attempt) -> bool:
        """Return whether the attempt's endpoint, or its connection, is taken to be silent."""
        endpoint = attempt.endpoint
        if endpoint.last_response_at > attempt.sent_at:
            return False
        # Whole microseconds, rounded up: a timer for a fraction would be due before it, again and again.
        enough_us = math.ceil(
            max(
                SILENCE_TIMEOUTS * self._timeout_us(request, endpoint),
                MIN_SILENCE_OBJECTIVES * request.service_class.latency_objective_us,
            )
        )
        if self._context.now - attempt.sent_at < enough_us:
            due = attempt.sent_at + enough_us
            self._scheduler.schedule_attempt(due, request.request_id, attempt.index)
        elif (
            endpoint.ejected_until is None
            and self._did_others_respond(attempt)
            and not self._connections.record_silence(attempt)
        ):
            self._outliers.eject(endpoint, EjectionReason.SILENT)
        return endpoint.ejected_until is not None or attempt.is_blamed_on_idle_connection

    def _did_others_respond(self, attempt: Attempt) -> bool:
        return self._outliers.response_count - attempt.responses_before >= MIN_RESPONSES_OF_OTHERS
