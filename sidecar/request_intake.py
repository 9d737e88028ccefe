"""Reports clients' requests, completed bodies and disconnects to the balancer as events."""

from __future__ import annotations

from collections.abc import Callable

from balancer.events import (
    ClientDisconnected,
    Event,
    RequestArrived,
    RequestBodyCompleted,
    RequestBodyOverdue,
)
from balancer.settings import Settings
from sidecar.clock import Clock
from sidecar.downstream.connection import DownstreamConnection
from sidecar.downstream.request_parsing import IncomingRequest
from sidecar.open_requests import OpenRequests
from sidecar.shutdown_state import ShutdownState
from sidecar.upstream.upstream import Upstream


class RequestIntake:
    """Receives requests from the downstream side, and dispatches them to the balancer."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        requests: OpenRequests,
        upstream: Upstream,
        shutdown: ShutdownState,
        dispatch: Callable[[Event], None],
        on_request: Callable[[], None],
    ) -> None:
        """Before each request is dispatched, `on_request` is called."""
        self._max_open_requests = settings.limits.max_open_requests
        self._clock = clock
        self._requests = requests
        self._upstream = upstream
        self._shutdown = shutdown
        self._dispatch = dispatch
        self._on_request = on_request

    def request_received(self, client: DownstreamConnection, incoming: IncomingRequest) -> int | None:
        """Dispatch a request; return its number, or None if it is answered already."""
        incoming.remaining_us = self._shutdown.limit_remaining_time(incoming.remaining_us, self._clock.now())
        number = self._requests.add(client, incoming)
        self._on_request()
        if self._max_open_requests is not None and self._requests.unanswered > self._max_open_requests:
            self._requests.respond(number, 503)
            return None
        self._dispatch(
            RequestArrived(
                request=number,
                service_class=incoming.service_class,
                tenant=incoming.tenant,
                key=incoming.affinity_key,
                remaining_us=incoming.remaining_us,
                cost_us=incoming.cost_us,
                is_client_retry=incoming.is_client_retry,
                is_write=incoming.method != b"GET",
                is_body_streaming=incoming.upload is not None,
            )
        )
        return None if self._requests.is_answered(number) else number

    def body_completed(self, number: int, unread_us: int) -> None:
        """Start the deadline of a request whose streamed body has arrived completely.

        The deadline includes `unread_us`, the time that the last part spent unread in the socket buffer.
        """
        request, now = self._requests[number], self._clock.now()
        remaining_us = max(request.incoming.remaining_us - unread_us, 1)
        remaining_us = self._shutdown.limit_remaining_time(remaining_us, now)
        for attempt in request.attempts:
            self._upstream.shorten_deadline(attempt, now + remaining_us)
        self._dispatch(RequestBodyCompleted(number, remaining_us))

    def body_unread(self, number: int, unread_us: int) -> None:
        """End a request whose time is over, though the rest of its streamed body can't be read.

        The last byte of the body may have been sent `unread_us` ago.
        """
        if unread_us >= self._requests[number].incoming.remaining_us:
            self._dispatch(RequestBodyOverdue(number))

    def client_disconnected(self, number: int) -> None:
        """Stop work for a client that has disconnected."""
        request = self._requests.get(number)
        if request is not None and request.streaming_attempt is not None:
            # The rest of the response can't be delivered.
            self._upstream.cancel(request.attempts[request.streaming_attempt])
        self._requests.release_client(number)
        self._dispatch(ClientDisconnected(number))
        self._requests.remove_if_finished(number)
