"""Outlier detection: ejects failing endpoints and readmits them after a successful trial request."""

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

# Failures without a response in between, after which an endpoint is ejected.
MAX_CONSECUTIVE_FAILURES = 2
# Duration of the first ejection, in multiples of the longest latency objective; it doubles with each failed
# trial request ...
EJECTION_OBJECTIVES = 2.0
# ... up to this limit.
MAX_EJECTION_OBJECTIVES = 16.0
# Consecutive ejections are counted up to this, which bounds the exponent of the duration.
MAX_COUNTED_EJECTIONS = 8
# At most this fraction of the endpoints is ejected, so that the other endpoints are not overloaded.
MAX_EJECTED_FRACTION = 0.6
# At most this fraction is ejected for silence; if more endpoints are silent, the fleet is overloaded.
MAX_SILENT_FRACTION = 0.34
# Trial requests that may fail for each client request, and the most that the budget can accumulate.
TRIALS_PER_REQUEST = 0.1
MAX_TRIAL_BUDGET = 4.0


@unique
class EjectionReason(Enum):
    """Why an endpoint was ejected; the value is written to the log."""

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
    """Ejects endpoints for consecutive failures or silence and readmits them by one trial request at a time.

    All endpoints share one budget of trial requests: after the loss of a zone, trials of each of its
    endpoints would take most requests of a small balancer.
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
        self._trial_budget = MAX_TRIAL_BUDGET
        self.response_count = 0  # responses of all endpoints

    def record_arrival(self) -> None:
        """Add to the trial budget; the fewer balancers are present, the more each of them adds."""
        added = TRIALS_PER_REQUEST / self._context.cluster_presence
        self._trial_budget = min(self._trial_budget + added, MAX_TRIAL_BUDGET)

    def record_attempt(self, attempt: Attempt) -> None:
        """Mark an attempt to an ejected endpoint as a trial and take it from the budget."""
        if attempt.endpoint.ejected_until is not None:
            attempt.is_trial = attempt.endpoint.has_trial_request = True
            self._trial_budget -= 1.0

    def record_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Update the health of an endpoint by the outcome of an attempt."""
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
            return  # the endpoint is slow, but it answered other attempts meanwhile
        may_be_stale_connection = outcome in (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST)
        if may_be_stale_connection and self._connections.record_silence(attempt) and not was_trial:
            return
        endpoint.consecutive_failures += 1
        has_reached_limit = endpoint.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
        if was_trial or (has_reached_limit and endpoint.ejected_until is None):
            self.eject(endpoint, FAILURES[outcome])
            if was_trial and outcome is Outcome.CONNECT_FAILED:
                # No process listens even after the ejection time, so the process has died, and a new one may
                # start before the endpoint list shows it.  Lost connections are no such sign: they may be due
                # to the network, and must not put warm servers through slow start.
                self._slow_start.begin(endpoint, self._context.now)

    def eject(self, endpoint: Endpoint, reason: EjectionReason) -> None:
        """Eject an endpoint or prolong its ejection, unless too many endpoints are ejected already."""
        if endpoint.state is EndpointState.GONE or endpoint.is_excluded:
            return
        if endpoint.ejected_until is None:
            if len(self._ejected) + 1 > self._max_ejected(reason):
                return
            self._ejected.append(endpoint)
            self._endpoints.invalidate_zone_latency()
            self._in_flight.record_ejection(endpoint)
            self._context.actions.append(Log(f"ejected {endpoint.name}: {reason.value}"))
        objectives = min(EJECTION_OBJECTIVES * 2**endpoint.ejections, MAX_EJECTION_OBJECTIVES)
        endpoint.ejections = min(endpoint.ejections + 1, MAX_COUNTED_EJECTIONS)
        endpoint.ejected_until = self._context.jittered_time_after(objectives)

    def _max_ejected(self, reason: EjectionReason) -> float:
        """Return how many endpoints may be ejected at a time.

        This is a fraction of the subset, whose other endpoints have to take over the load.  An endpoint that
        cannot be connected to is replaced in the subset by one further down the list, so for these it is a
        fraction of the list.
        """
        available = len(self._endpoints.available)
        if reason is EjectionReason.CONNECT_FAILED:
            return MAX_EJECTED_FRACTION * available
        considered = min(available, subset_size(self._in_flight.mean))
        return (MAX_SILENT_FRACTION if reason is EjectionReason.SILENT else MAX_EJECTED_FRACTION) * considered

    def release(self, endpoint: Endpoint) -> None:
        """End the ejection of an endpoint that left the list or that operators excluded."""
        endpoint.ejected_until = None
        self._ejected.remove(endpoint)
        self._endpoints.invalidate_zone_latency()
        self._in_flight.record_readmission(endpoint)

    def readmit(self, endpoint: Endpoint) -> None:
        """End an ejection after a response or a restart, and refund the successful trial to the budget."""
        self.release(endpoint)
        self._trial_budget = min(self._trial_budget + 1.0, MAX_TRIAL_BUDGET)
        endpoint.ejections = 0
        endpoint.consecutive_failures = 0
        if endpoint.slow_start_since is not None and endpoint.slow_start_since != endpoint.started_at:
            self._slow_start.begin(endpoint, self._context.now)
        self._context.actions.append(Log(f"readmitted {endpoint.name}"))

    def endpoint_for_trial(self, request: Request) -> Endpoint | None:
        """Return an ejected endpoint that this request may be sent to as a trial, or None.

        Only first attempts of idempotent requests are used as trials.
        """
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
        is_time_over = until is not None and self._context.now >= until
        return is_time_over and endpoint.is_available and not endpoint.has_trial_request
