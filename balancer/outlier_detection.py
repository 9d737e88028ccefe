"""Outlier detection: endpoints that fail are ejected, and readmitted when a trial request succeeds."""

from __future__ import annotations

from enum import Enum, unique

from balancer.actions import Log
from balancer.connection_reuse import ConnectionReuse
from balancer.context import DecisionContext
from balancer.endpoints import Endpoint, EndpointTable
from balancer.events import EndpointState, Outcome
from balancer.in_flight import InFlightTracker
from balancer.requests import Attempt, Request
from balancer.settings import Idempotency
from balancer.slow_start import SlowStart
from balancer.subset_size import subset_size

# Failures in a row, no response between them, after which an endpoint is ejected.
MAX_CONSECUTIVE_FAILURES = 2
# The first ejection lasts this many of the longest latency objective; it doubles with each failed trial ...
EJECTION_OBJECTIVES = 2.0
# ... and never lasts longer than this.
MAX_EJECTION_OBJECTIVES = 16.0
MAX_EJECTIONS_IN_A_ROW = 8
# Never more than this fraction of the endpoints is ejected: the rest would be overloaded.
MAX_EJECTED_FRACTION = 0.6
# No more than this fraction is ejected for silence alone: more of it is overload.
MAX_SILENT_FRACTION = 0.34
# Failed trial requests for each request of a client, and how many may be saved up.
TRIALS_PER_REQUEST = 0.1
MAX_SAVED_TRIALS = 4.0


@unique
class EjectionReason(Enum):
    """Why an endpoint was ejected, as the log says it."""

    SILENT = "silent"
    TIMED_OUT = "expired"
    CONNECTION_LOST = "dropped"
    CONNECT_FAILED = "dial_failed"
    ERROR = "error"


# Outcomes that count as failures of the endpoint.
FAILURES = {
    Outcome.TIMED_OUT: EjectionReason.TIMED_OUT,
    Outcome.CONNECTION_LOST: EjectionReason.CONNECTION_LOST,
    Outcome.CONNECT_FAILED: EjectionReason.CONNECT_FAILED,
    Outcome.ERROR: EjectionReason.ERROR,
}


class OutlierDetector:
    """Ejects endpoints for consecutive failures or silence and brings them back by one trial at a time.

    Trials share a budget: with a zone lost, a trial for each of its endpoints would take most requests of a
    small balancer.
    """

    def __init__(
        self,
        context: DecisionContext,
        endpoints: EndpointTable,
        in_flight: InFlightTracker,
        slow_start: SlowStart,
        connections: ConnectionReuse,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._in_flight = in_flight
        self._slow_start = slow_start
        self._connections = connections
        self._ejected: list[Endpoint] = []
        self._trial_budget = MAX_SAVED_TRIALS
        self.response_count = 0  # of all endpoints

    def record_arrival(self) -> None:
        """Add to the budget of trials; it is shared by the balancers that are present."""
        added = TRIALS_PER_REQUEST / self._context.cluster_presence
        self._trial_budget = min(self._trial_budget + added, MAX_SAVED_TRIALS)

    def record_attempt(self, attempt: Attempt) -> None:
        """An attempt was sent; to an ejected endpoint it is a trial."""
        if attempt.endpoint.ejected_until is not None:
            attempt.is_trial = attempt.endpoint.has_trial_request = True
            self._trial_budget -= 1.0

    def record_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Learn of an endpoint's health from the outcome of an attempt."""
        was_trial = attempt.is_trial
        if was_trial:
            attempt.is_trial = attempt.endpoint.has_trial_request = False
        if outcome is Outcome.DELIVERED:
            self._record_response(attempt)
        elif outcome in FAILURES:
            self._record_failure(attempt, outcome, was_trial=was_trial)

    def _record_response(self, attempt: Attempt) -> None:
        endpoint = attempt.endpoint
        endpoint.consecutive_failures = 0
        endpoint.last_response_at = self._context.now
        self._connections.record_response(attempt)
        self.response_count += 1
        self._slow_start.record_response(endpoint)
        if endpoint.ejected_until is not None:
            self.readmit(endpoint)

    def _record_failure(self, attempt: Attempt, outcome: Outcome, *, was_trial: bool) -> None:
        endpoint = attempt.endpoint
        if outcome is Outcome.TIMED_OUT and endpoint.last_response_at > attempt.sent_at:
            return  # it is slow, but answered others meanwhile
        may_be_idle_connection = outcome in (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST)
        if may_be_idle_connection and self._connections.record_silence(attempt) and not was_trial:
            return
        endpoint.consecutive_failures += 1
        has_failed_often = endpoint.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
        if was_trial or (has_failed_often and endpoint.ejected_until is None):
            self.eject(endpoint, FAILURES[outcome])
            if was_trial and outcome is Outcome.CONNECT_FAILED:
                # No process listens even after a wait: it died, and may be back before the list says so.
                # Broken connections alone tell of the network, and must not make warm servers warm up.
                self._slow_start.begin(endpoint, self._context.now)

    def eject(self, endpoint: Endpoint, reason: EjectionReason) -> None:
        """Eject an endpoint, or prolong its ejection, unless too many others are ejected."""
        if endpoint.state is EndpointState.GONE or endpoint.is_excluded:
            return
        if endpoint.ejected_until is None:
            if len(self._ejected) + 1 > self._max_ejected(reason):
                return
            self._ejected.append(endpoint)
            self._endpoints.forget_zone_latency()
            self._in_flight.record_ejection(endpoint)
            self._context.actions.append(Log(f"ejected {endpoint.name}: {reason.value}"))
        objectives = min(EJECTION_OBJECTIVES * 2**endpoint.ejections, MAX_EJECTION_OBJECTIVES)
        endpoint.ejections = min(endpoint.ejections + 1, MAX_EJECTIONS_IN_A_ROW)
        endpoint.ejected_until = self._context.time_after(objectives)

    def _max_ejected(self, reason: EjectionReason) -> float:
        """How many endpoints may be ejected at a time.

        A fraction of the subset, since others would have to take over its load.  An endpoint that can't be
        connected to makes way for others further on in the list, so there it is a fraction of the list.
        """
        available = len(self._endpoints.available)
        if reason is EjectionReason.CONNECT_FAILED:
            return MAX_EJECTED_FRACTION * available
        considered = min(available, subset_size(self._in_flight.mean))
        return (MAX_SILENT_FRACTION if reason is EjectionReason.SILENT else MAX_EJECTED_FRACTION) * considered

    def release(self, endpoint: Endpoint) -> None:
        """End an ejection without a judgement: the endpoint left, or operators excluded it."""
        endpoint.ejected_until = None
        self._ejected.remove(endpoint)
        self._endpoints.forget_zone_latency()
        self._in_flight.record_readmission(endpoint)

    def readmit(self, endpoint: Endpoint) -> None:
        """End an ejection after a response or a restart; the trial that showed it costs nothing."""
        self.release(endpoint)
        self._trial_budget = min(self._trial_budget + 1.0, MAX_SAVED_TRIALS)
        endpoint.ejections = 0
        endpoint.consecutive_failures = 0
        if endpoint.slow_start_since is not None and endpoint.slow_start_since != endpoint.started_at:
            self._slow_start.begin(endpoint, self._context.now)
        self._context.actions.append(Log(f"readmitted {endpoint.name}"))

    def endpoint_for_trial(self, request: Request) -> Endpoint | None:
        """An ejected endpoint that this request, if it is idempotent, may try after its wait; or None."""
        if request.service_class.idempotency is not Idempotency.IDEMPOTENT or request.attempts:
            return None
        if self._trial_budget < 1.0:
            return None
        for endpoint in self._ejected:
            if self._may_be_tried(endpoint) and self._slow_start.has_budget(endpoint, request.relative_cost):
                return endpoint
        return None

    def _may_be_tried(self, endpoint: Endpoint) -> bool:
        until = endpoint.ejected_until
        has_waited = until is not None and self._context.now >= until
        return has_waited and endpoint.is_available and not endpoint.has_trial_request
