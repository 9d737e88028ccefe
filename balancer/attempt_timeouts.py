"""Attempt timeouts: ejects silent endpoints, and hedges or retries the requests sent to them.

Detects servers that accept requests and answer none, long before request deadlines would.  A server that has
answered any request since the attempt was sent is slow, not silent.  If other servers do not respond either,
the fleet is overloaded and the endpoint is not ejected.
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

# The attempt timeout, as a multiple of the latency estimate times the endpoint's relative latency.
TIMEOUT_FACTOR = 2.5
# Lower limit of the attempt timeout, in latency objectives: variation of short latencies is mostly jitter.
MIN_TIMEOUT_OBJECTIVES = 0.1
# An endpoint is silent if it has sent no response for this many attempt timeouts ...
SILENCE_TIMEOUTS = 2.0
# ... and for at least this many latency objectives ...
MIN_SILENCE_OBJECTIVES = 0.5
# ... while other endpoints have sent at least this many responses since the attempt was sent.
MIN_OTHER_RESPONSES = 4


@unique
class TimeoutStep(Enum):
    """What to do when an attempt timeout has passed."""

    WAIT = "wait"
    HEDGE = "hedge"
    CANCEL = "cancel"  # the end of the cancelled attempt leads to a retry


class AttemptTimeouts:
    """Schedules attempt timeouts and decides what to do when one has passed."""

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
        """Schedule the timeout of an attempt whose server has just received the complete request."""
        due = self._context.now + self._timeout_us(request, attempt.endpoint)
        self._scheduler.schedule_attempt(due, request.request_id, attempt.index)

    def _timeout_us(self, request: Request, endpoint: Endpoint) -> int:
        expected_us = (
            TIMEOUT_FACTOR * self._latency.estimate_us(request) * max(endpoint.relative_latency, 1.0)
        )
        min_timeout_us = MIN_TIMEOUT_OBJECTIVES * request.service_class.latency_objective_us
        return int(max(expected_us, min_timeout_us, self._context.settings.clock_resolution_us))

    def check(self, request: Request, attempt: Attempt) -> TimeoutStep:
        """Check a pending attempt whose timeout has passed, and return what to do for its request."""
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
        """Count the attempt as late if it has missed the latency objective, else check again at that time."""
        objective_us = request.service_class.latency_objective_us
        if self._context.now - attempt.sent_at < objective_us:
            due = attempt.sent_at + objective_us
            self._scheduler.schedule_attempt(due, request.request_id, attempt.index)
            return
        is_endpoint_ejected = attempt.endpoint.ejected_until is not None
        if attempt.is_counted_late or is_endpoint_ejected or attempt.is_blamed_on_stale_connection:
            return
        attempt.is_counted_late = True
        self._window.record_missing_response()

    def _check_silence(self, request: Request, attempt: Attempt) -> bool:
        """Return whether the attempt's endpoint is ejected or its idle connection is considered stale.

        Ejects the endpoint if it is silent now, and checks again later if it may become so.
        """
        endpoint = attempt.endpoint
        if endpoint.last_response_at > attempt.sent_at:
            return False
        # Rounded up to whole microseconds: a rounded-down timer would fire before the threshold is reached
        # and be set again for the same time, without end.
        silence_threshold_us = math.ceil(
            max(
                SILENCE_TIMEOUTS * self._timeout_us(request, endpoint),
                MIN_SILENCE_OBJECTIVES * request.service_class.latency_objective_us,
            )
        )
        if self._context.now - attempt.sent_at < silence_threshold_us:
            due = attempt.sent_at + silence_threshold_us
            self._scheduler.schedule_attempt(due, request.request_id, attempt.index)
        elif (
            endpoint.ejected_until is None
            and self._have_others_responded(attempt)
            and not self._connections.record_silence(attempt)
        ):
            self._outliers.eject(endpoint, EjectionReason.SILENT)
        return endpoint.ejected_until is not None or attempt.is_blamed_on_stale_connection

    def _have_others_responded(self, attempt: Attempt) -> bool:
        return self._outliers.response_count - attempt.responses_before >= MIN_OTHER_RESPONSES
