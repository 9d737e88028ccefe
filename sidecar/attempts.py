"""Sends attempts to servers, and reports their responses and outcomes to the balancer as events."""

from __future__ import annotations

from collections.abc import Callable

from balancer.actions import CancelAttempt, SendAttempt
from balancer.events import AttemptEnded, Event, HealthCheckEnded, Outcome, ResponseStarted
from balancer.settings import LoadReportSource, Settings
from sidecar.clock import Clock
from sidecar.interfaces import ResponseSink
from sidecar.open_requests import OpenRequests
from sidecar.upstream.attempt import Attempt
from sidecar.upstream.http_exchange import OutgoingRequest, Response, UpstreamConnection
from sidecar.upstream.load_report import parse_load_report
from sidecar.upstream.upstream import Upstream

_HEALTH_CHECK_TIMEOUT_US = 1_000_000


class Attempts:
    """Sends the attempts of open requests, and health checks."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        requests: OpenRequests,
        upstream: Upstream,
        dispatch: Callable[[Event], None],
    ) -> None:
        self._load_report_columns = settings.load_report_columns
        self._has_load_reports = settings.load_report_source is not LoadReportSource.NONE
        self._clock = clock
        self._requests = requests
        self._upstream = upstream
        self._dispatch = dispatch

    def send(self, action: SendAttempt) -> None:
        """Start the next attempt of an open request."""
        number = action.request
        request = self._requests[number]
        attempt_number = len(request.attempts)

        def on_ended(outcome: Outcome, response: Response | None) -> None:
            self._attempt_ended(number, attempt_number, outcome, response)

        def on_streaming_response(
            source: UpstreamConnection, head: Response, length: int | None
        ) -> ResponseSink | None:
            return self._response_started(number, attempt_number, source, head, length)

        # These functions must not refer to `request`, which refers to its attempts: objects in reference
        # cycles stay in memory, with the request's body, until the garbage collector finds them.
        attempt = Attempt(
            action.server,
            action.deadline,
            request.incoming.to_outgoing,
            on_ended,
            on_streaming_response,
            action.send_by,
            is_wanted=lambda: self._requests.is_awaited(number),
            may_execute=lambda: self._requests.claim_id(number),
        )
        attempt.sent_at = self._clock.now()
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        self._upstream.start(attempt, check_is_wanted=attempt_number > 0)

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt; an unknown request or attempt is ignored."""
        request = self._requests.get(action.request)
        if request is not None and action.attempt < len(request.attempts):
            self._upstream.cancel(request.attempts[action.attempt])

    def send_health_check(self, server: str) -> None:
        """Send a health check, which also requests a load report if servers are configured to send them."""
        sent_at = self._clock.now()
        is_report_in_body = self._has_load_reports

        def on_ended(outcome: Outcome, response: Response | None) -> None:
            report = parse_load_report(response, self._load_report_columns, in_body=is_report_in_body)
            self._dispatch(HealthCheckEnded(server, outcome, self._clock.now() - sent_at, report))

        path = b"/_load" if is_report_in_body else b"/ping"
        health_check = OutgoingRequest(b"GET", path, [(b"host", server.encode())])
        self._upstream.start(
            Attempt(server, sent_at + _HEALTH_CHECK_TIMEOUT_US, lambda _remaining_us: health_check, on_ended)
        )

    def _response_started(
        self, number: int, attempt_number: int, source: UpstreamConnection, head: Response, length: int | None
    ) -> ResponseSink | None:
        """Start streaming a response that is too long to be buffered; return the sink for its body.

        Returns None if another response is being streamed, or if the client was answered or disconnected.
        """
        request = self._requests.get(number)
        if request is None or request.client is None or request.streaming_attempt is not None:
            return None
        client = request.client
        if not client.start_streaming(head.content_headers(), length, head.body, source):
            return None
        request.streaming_attempt = attempt_number
        attempt = request.attempts[attempt_number]
        elapsed_us = max(self._clock.now() - head.unread_us - attempt.sent_at, 0)
        self._dispatch(ResponseStarted(number, attempt_number, attempt.server, elapsed_us))
        return request.client

    def _attempt_ended(
        self, number: int, attempt_number: int, outcome: Outcome, response: Response | None
    ) -> None:
        request = self._requests[number]
        request.attempts_in_flight -= 1
        request.last_outcome = outcome
        if request.streaming_attempt == attempt_number:
            self._requests.finish_streaming(number, is_complete=outcome is Outcome.DELIVERED)
        elif outcome is Outcome.DELIVERED and response is not None and request.streaming_attempt is None:
            self._requests.respond(number, 200, response.content_headers(), response.body)
        attempt, upload = request.attempts[attempt_number], request.incoming.upload
        # Time that the response spent unread in the socket buffer is this process's delay, not the server's.
        unread_us = response.unread_us if response is not None else 0
        self._dispatch(
            AttemptEnded(
                request=number,
                attempt=attempt_number,
                server=attempt.server,
                outcome=outcome,
                elapsed_us=max(self._clock.now() - unread_us - attempt.sent_at, 0),
                is_request_answered=False,  # set by EventDispatcher when it handles the event
                load_report=parse_load_report(response, self._load_report_columns),
                is_body_consumed=upload is not None and upload.is_consumed,
            )
        )
