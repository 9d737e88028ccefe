"""The load balancer of one sidecar: events in, actions out.

`Balancer` dispatches events to its components and owns the requests.  Two methods enforce the rules, whatever
the components decide: `_send` sends every attempt, and `_finish` produces every final response that does not
come from a server.  The balancer does no I/O and reads no clock, and its only source of randomness is the
seed.  The reasons for the design are in docs/design.md.
"""

from __future__ import annotations

from balancer.actions import Action, CancelAttempt, Fail, Reject, SendAttempt, SetTimer
from balancer.admission_control import AdmissionController
from balancer.attempt_timeouts import AttemptTimeouts, TimeoutStep
from balancer.concurrency_window import ConcurrencyWindow
from balancer.connection_reuse import ConnectionReuse
from balancer.context import DecisionContext
from balancer.discovery_polling import DiscoveryPoller
from balancer.endpoint_updates import EndpointUpdater
from balancer.endpoints import Endpoint, EndpointCounts, EndpointTable
from balancer.events import (
    AttemptEnded,
    ClientDisconnected,
    ClusterSizeChanged,
    EndpointExcluded,
    EndpointIncluded,
    EndpointListKind,
    EndpointListReceived,
    Event,
    Outcome,
    RequestArrived,
    RequestBodyCompleted,
    RequestBodyOverdue,
    ResponseStarted,
    TimerFired,
)
from balancer.in_flight import InFlightTracker
from balancer.latency import LatencyEstimator
from balancer.outlier_detection import OutlierDetector
from balancer.requests import Attempt, Request
from balancer.retry_policy import RetryPolicy
from balancer.scheduler import TIMER_TOKEN, Deadline, DeadlineKind, Scheduler
from balancer.selection import EndpointSelector
from balancer.settings import ServiceClass, Settings
from balancer.slow_start import SlowStart

# A final response is due this many clock ticks before the client's deadline.
RESPONSE_MARGIN_TICKS = 2
# Provisional deadline of a request while its streamed body arrives; the sidecar limits the time of the body
# to less.
MAX_BODY_ARRIVAL_US = 3_600_000_000


class Balancer:
    """The decisions of one sidecar.

    Events have to be passed, and the returned actions executed, in order.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        context = self._context = DecisionContext(settings, seed)
        self._limits = settings.limits
        self._classes = {service_class.name: service_class for service_class in settings.classes}
        self._requests: dict[int, Request] = {}
        self._has_started = False
        scheduler = self._scheduler = Scheduler()
        self._discovery = DiscoveryPoller(context, scheduler)
        endpoints = self._endpoints = EndpointTable(context)
        in_flight = self._in_flight = InFlightTracker(context)
        latency = self._latency = LatencyEstimator(context, endpoints, in_flight)
        window = self._window = ConcurrencyWindow(context, in_flight)
        self._admission = AdmissionController(context, window)
        slow_start = self._slow_start = SlowStart(context, endpoints, in_flight)
        connections = self._connections = ConnectionReuse(context)
        outliers = self._outliers = OutlierDetector(context, endpoints, in_flight, slow_start, connections)
        self._updates = EndpointUpdater(context, endpoints, slow_start, outliers)
        retries = self._retries = RetryPolicy(context)
        self._timeouts = AttemptTimeouts(context, scheduler, latency, window, connections, outliers, retries)
        self._selector = EndpointSelector(context, endpoints, in_flight, window, slow_start, retries)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle one event at clock time `now` (us); return the actions to execute, in order."""
        self._context.begin_event(now)
        self._in_flight.update_mean(self._window.size)
        if not self._has_started:
            self._has_started = True
            self._discovery.poll()
        match event:
            case AttemptEnded():
                self._attempt_ended(event)
            case RequestArrived():
                self._request_arrived(event)
            case TimerFired():
                self._timer_fired()
            case EndpointListReceived():
                self._endpoint_list_received(event)
            case ClientDisconnected():
                self._client_disconnected(event)
            case ResponseStarted():
                self._response_started(event)
            case RequestBodyCompleted():
                self._request_body_completed(event)
            case RequestBodyOverdue():
                self._request_body_overdue(event)
            case _:
                self._handle_administrative_event(event)
        self._set_timer()
        return self._context.actions

    def _handle_administrative_event(self, event: Event) -> None:
        match event:
            case EndpointExcluded():
                self._updates.exclude(event.server)
            case EndpointIncluded():
                self._updates.include(event.server)
            case ClusterSizeChanged():
                self._context.set_cluster_size(event.configured, event.present)
            case _:
                pass  # health checks and peer messages: the balancer sends none

    def endpoint_counts(self) -> EndpointCounts:
        """Return how many endpoints are listed, and how many of them get no regular requests now."""
        return self._endpoints.counts()

    def knows_endpoint(self, name: str) -> bool:
        """Whether an endpoint was ever listed or excluded."""
        return name in self._endpoints.by_name

    def _endpoint_list_received(self, event: EndpointListReceived) -> None:
        if event.kind is EndpointListKind.FAILED:
            self._discovery.record_failure()
            return
        if event.kind is not EndpointListKind.CACHED:
            self._discovery.record_list()
        self._updates.apply(event)

    # Requests

    def _request_arrived(self, event: RequestArrived) -> None:
        service_class = self._classes.get(event.service_class)
        if service_class is None:
            # A class that is not in the settings gets the defaults, and its deadline as latency objective.
            remaining_us = max(event.remaining_us, 1)
            service_class = ServiceClass(event.service_class, remaining_us, remaining_us)
        self._slow_start.record_arrival()
        self._retries.record_arrival()
        self._outliers.record_arrival()
        cost = self._latency.relative_cost(service_class, event.cost_us)
        deadline = self._context.now + MAX_BODY_ARRIVAL_US
        request = Request(
            event.request, service_class, deadline, cost, has_streamed_body=event.is_body_streaming
        )
        self._requests[event.request] = request
        if not event.is_body_streaming:
            self._start_deadline(request, event.remaining_us)
        if self._admission.admits(service_class, event.tenant):
            self._send_or_finish(request)
        else:
            self._finish(request)

    def _start_deadline(self, request: Request, remaining_us: int) -> None:
        margin_us = RESPONSE_MARGIN_TICKS * self._context.settings.clock_resolution_us
        request.deadline = self._context.now + remaining_us - margin_us
        self._scheduler.schedule_response(request.deadline, request.request_id)

    def _request_body_completed(self, event: RequestBodyCompleted) -> None:
        """Start the deadline of a request whose body has arrived, and the timeouts of its attempts."""
        request = self._requests.get(event.request)
        if request is None or request.is_answered or not request.is_body_arriving:
            return
        request.is_body_arriving = False
        self._start_deadline(request, event.remaining_us)
        for attempt in request.attempts:
            if attempt.is_pending and not attempt.response_started:
                attempt.sent_at = self._context.now
                attempt.responses_before = self._outliers.response_count
                self._start_attempt(request, attempt)

    def _request_body_overdue(self, event: RequestBodyOverdue) -> None:
        """Finish a request whose body its server has not taken in time, unless a response has begun."""
        request = self._requests.get(event.request)
        if request is None or request.is_answered or request.has_started_response():
            return
        for attempt in request.attempts:
            if attempt.is_pending:
                self._outliers.record_outcome(attempt, Outcome.TIMED_OUT)
        self._finish(request)

    def _start_attempt(self, request: Request, attempt: Attempt) -> None:
        self._in_flight.start(attempt)
        self._timeouts.start(request, attempt)

    def _send_or_finish(self, request: Request) -> None:
        """Send an attempt to a selected endpoint; finish the request if that is not possible.

        A request with a pending attempt is not finished.
        """
        endpoint = self._select(request)
        is_sent = endpoint is not None and self._send(request, endpoint)
        if not is_sent and not request.has_pending_attempt():
            self._finish(request)

    def _select(self, request: Request) -> Endpoint | None:
        endpoint = self._outliers.endpoint_for_trial(request)
        if endpoint is None:
            endpoint = self._updates.endpoint_after_inclusion(request)
        return endpoint if endpoint is not None else self._selector.select(request)

    def _client_disconnected(self, event: ClientDisconnected) -> None:
        request = self._requests.get(event.request)
        if request is not None and not request.is_answered:
            self._mark_answered(request)

    # Sending attempts and final responses

    def _send(self, request: Request, endpoint: Endpoint) -> bool:
        """Send an attempt if the rules allow it; return whether it was sent.

        All attempts are sent here, so that the rules hold whatever the components decide.
        """
        send_by = self._retries.send_by(request)
        if not self._may_send(request, endpoint, send_by):
            return False
        context = self._context
        attempt = Attempt(len(request.attempts), endpoint, context.now, self._outliers.response_count)
        attempt.idle_us = self._connections.use_connection(endpoint)
        request.attempts.append(attempt)
        self._updates.record_attempt(endpoint)
        self._slow_start.record_attempt(endpoint, request.relative_cost, is_first=attempt.index == 0)
        self._outliers.record_attempt(attempt)
        if not request.is_body_arriving:
            self._start_attempt(request, attempt)
        context.actions.append(SendAttempt(request.request_id, endpoint.name, request.deadline, send_by))
        return True

    def _may_send(self, request: Request, endpoint: Endpoint, send_by: int) -> bool:
        if request.is_answered or self._context.now >= min(send_by, request.deadline):
            return False  # after the final response or the deadline, or too late for a safe retry
        if len(request.attempts) >= self._limits.max_attempts:
            return False
        if not self._limits.hedged_requests and request.has_pending_attempt():
            return False
        if not self._retries.is_in_scope(request, endpoint):
            return False
        if not endpoint.is_available:
            return False  # the grace period of a drain is not used
        return self._slow_start.has_budget(endpoint, request.relative_cost)

    def _finish(self, request: Request) -> None:
        """Produce the final response of a request that no server answers.

        A rejection tells the client that a retry is safe; if that is not certain, the request fails.  All
        final responses of the balancer are produced here.
        """
        if request.is_answered:
            return
        action: Action
        if self._retries.is_safe_to_repeat(request):
            action = Reject(request.request_id, self._admission.retry_after_us(request.service_class))
        else:
            action = Fail(request.request_id)
        self._context.actions.append(action)
        self._mark_answered(request)

    def _mark_answered(self, request: Request) -> None:
        """Mark a request as answered and cancel its pending attempts if settings allow it."""
        request.is_answered = True
        self._cancel_attempts(request)
        self._remove_if_ended(request)

    def _cancel_attempts(self, request: Request) -> None:
        """Cancel the pending attempts whose response has not started."""
        if not self._limits.may_cancel_attempts:
            return
        for attempt in request.attempts:
            if attempt.is_pending and not attempt.response_started:
                self._context.actions.append(CancelAttempt(request.request_id, attempt.index))

    def _remove_if_ended(self, request: Request) -> None:
        """Remove a request that is answered and has no pending attempt."""
        if request.is_answered and not request.has_pending_attempt():
            self._requests.pop(request.request_id, None)

    # Responses and other outcomes of attempts

    def _response_started(self, event: ResponseStarted) -> None:
        """Record the response of an attempt when its first bytes arrive.

        How long the rest takes depends on the size of the response and on the client, not on the server.
        """
        request = self._requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.response_started or not attempt.is_pending:
            return
        attempt.response_started = True
        self._in_flight.finish(attempt)
        self._record_response(request, attempt, self._elapsed_us(attempt, event.elapsed_us))
        self._outliers.record_outcome(attempt, Outcome.DELIVERED)
        self._cancel_attempts(request)

    def _elapsed_us(self, attempt: Attempt, reported_us: int) -> int:
        return min(reported_us, self._context.now - attempt.sent_at)

    def _attempt_ended(self, event: AttemptEnded) -> None:
        request = self._requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.is_pending:
            return
        attempt.is_pending = False
        guarantees = self._context.settings.guarantees
        attempt.may_have_executed = not guarantees.proves_not_executed(event.outcome)
        request.is_body_consumed |= event.is_body_consumed
        was_in_flight = self._in_flight.finish(attempt)
        self._updates.close_idle_if_unavailable(attempt.endpoint)
        self._record_outcome(request, attempt, event, was_in_flight=was_in_flight)
        if event.is_request_answered:
            if not request.is_answered:
                self._mark_answered(request)
        elif not request.is_answered and not request.is_streaming_response():
            self._retry_or_finish(request, attempt, event.outcome)
        self._remove_if_ended(request)

    def _record_outcome(
        self, request: Request, attempt: Attempt, event: AttemptEnded, *, was_in_flight: bool
    ) -> None:
        """Pass the outcome of an attempt to the components."""
        endpoint, outcome = attempt.endpoint, event.outcome
        elapsed_us = self._elapsed_us(attempt, event.elapsed_us)
        if not attempt.response_started or outcome is not Outcome.DELIVERED:
            is_late = elapsed_us >= request.service_class.latency_objective_us
            if outcome is Outcome.CANCELLED and is_late and was_in_flight:
                self._outliers.record_outcome(attempt, Outcome.TIMED_OUT)
            else:
                self._outliers.record_outcome(attempt, outcome)
        if event.load_report:
            self._window.record_load_report(event.load_report)
        if outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED) and was_in_flight:
            self._in_flight.abandon(endpoint, elapsed_us)
            self._latency.record_missing_response(endpoint, request, elapsed_us)
        if outcome is Outcome.ERROR:
            self._latency.record_error(endpoint, request)
        if outcome is Outcome.FULL:
            self._selector.record_full(endpoint, request.service_class.name)
        if outcome is Outcome.DELIVERED and not attempt.response_started:
            self._record_response(request, attempt, elapsed_us)

    def _record_response(self, request: Request, attempt: Attempt, elapsed_us: int) -> None:
        """Pass a response, or the start of a streamed one, to the components."""
        objective_us = request.service_class.latency_objective_us
        self._selector.record_response(attempt.endpoint, request.service_class.name)
        self._window.record_response(objective_us)
        self._latency.record_response(attempt.endpoint, request, elapsed_us)
        if not attempt.is_counted_late:
            self._window.record_latency_ratio(elapsed_us / objective_us)

    def _retry_or_finish(self, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Retry a request after an attempt without a response, or finish it.

        Retries after "full" and after a failed connect are not charged to the retry budget: the budget limits
        the load of retries on servers, and those attempts caused their servers no work.
        """
        request.failed_endpoints.append(attempt.endpoint)
        is_full = outcome is Outcome.FULL
        request.full_responses += is_full
        is_outside_budget = is_full or outcome is Outcome.CONNECT_FAILED
        may_retry = self._context.now < self._retries.send_by(request)
        if may_retry and (is_outside_budget or self._retries.has_budget()):
            if not is_outside_budget:
                self._retries.spend()
            self._send_or_finish(request)
        elif not request.has_pending_attempt():
            self._finish(request)
        if is_full and request.is_answered and not request.is_body_consumed:
            # No retry found capacity, so the whole fleet is full and not just one server.
            self._window.record_no_capacity()

    # Deadlines and the timer

    def _timer_fired(self) -> None:
        now = self._context.now
        self._scheduler.record_timer(now)
        deadline = self._scheduler.pop_due(now)
        while deadline is not None:
            self._deadline_passed(deadline)
            deadline = self._scheduler.pop_due(now)

    def _deadline_passed(self, deadline: Deadline) -> None:
        if deadline.kind is DeadlineKind.POLL:
            self._discovery.poll_if_due()
            return
        request = self._requests.get(deadline.request_id)
        if request is None or request.is_answered or request.has_started_response():
            return
        if deadline.kind is DeadlineKind.RESPONSE:
            self._finish(request)
            return
        attempt = request.attempts[deadline.attempt_index]
        if attempt.is_pending:
            self._attempt_timed_out(request, attempt)

    def _attempt_timed_out(self, request: Request, attempt: Attempt) -> None:
        step = self._timeouts.check(request, attempt)
        if step is TimeoutStep.HEDGE:
            self._retries.spend()
            self._send_or_finish(request)
        elif step is TimeoutStep.CANCEL:
            self._context.actions.append(CancelAttempt(request.request_id, attempt.index))

    def _is_obsolete(self, deadline: Deadline) -> bool:
        """Whether nothing has to be done when this deadline passes."""
        if deadline.kind is DeadlineKind.POLL:
            return not self._discovery.is_scheduled_at(deadline.due)
        request = self._requests.get(deadline.request_id)
        if request is None or request.is_answered:
            return True
        if deadline.kind is DeadlineKind.RESPONSE:
            return False
        return not request.attempts[deadline.attempt_index].is_pending

    def _set_timer(self) -> None:
        """Set a timer for the earliest deadline that is not obsolete, unless the current timer suffices."""
        deadline = self._scheduler.next()
        while deadline is not None and self._is_obsolete(deadline):
            self._scheduler.drop_next()
            deadline = self._scheduler.next()
        delay_us = self._scheduler.timer_to_set(self._context.now)
        if delay_us is not None:
            self._context.actions.append(SetTimer(delay_us, TIMER_TOKEN))
