"""Carries attempts to servers: when one may be written, how long it may take, and how it ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.events import Outcome
from balancer.settings import Limits
from sidecar.clock import Clock
from sidecar.discovery.endpoint_list import EndpointList
from sidecar.downstream.flow_control import STALL_TIMEOUT_S
from sidecar.interfaces import ResponseSink
from sidecar.upstream.attempt import Attempt, outcome_of
from sidecar.upstream.connection_pool import ConnectionPool, PooledEndpoint
from sidecar.upstream.http_exchange import ExchangeFailure, Response, UpstreamConnection

_MIN_REQUEST_TIMEOUT_US = 1_000  # what a server is told at the least, however little time is left
_PROGRESS_CHECKS_PER_TIMEOUT = 10


class Upstream:
    """All attempts in flight, over one pool of at most `max_connections` connections to servers."""

    def __init__(
        self,
        clock: Clock,
        limits: Limits,
        max_connections: int,
        on_written: Callable[[], None],
        before_writing: Callable[[], None] | None = None,
    ) -> None:
        """`on_written` is called when the last byte of a request has left for a server.

        `before_writing` is called before each decision to write, and may exclude servers.
        """
        self._clock = clock
        self._on_written = on_written
        self._before_writing = before_writing
        self._pool = ConnectionPool(clock, limits, max_connections, self._connected, self._end)

    # Endpoints

    def update_endpoints(self, endpoint_list: EndpointList) -> None:
        """Take over an endpoint list or its changes, before any action that follows from it."""
        self._pool.update_endpoints(endpoint_list)

    @property
    def excluded(self) -> frozenset[str]:
        """The servers that operators have excluded."""
        return frozenset(self._pool.excluded)

    def exclude(self, name: str) -> None:
        """Write no further request to a server, before any action that follows from it."""
        self._pool.exclude(name)

    def include(self, name: str) -> None:
        """Revoke `exclude`."""
        self._pool.include(name)

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a server, if it is listed."""
        self._pool.close_idle(name)

    def resize(self, max_connections: int) -> None:
        """Change the limit on connections; the longest idle ones are closed to meet it."""
        self._pool.resize(max_connections)

    def close(self) -> None:
        """Close all connections; attempts in flight are dropped."""
        self._pool.close()

    # Attempts

    def start(self, attempt: Attempt, *, check_is_wanted: bool = False) -> None:
        """Begin an attempt; `check_is_wanted`: its request was not read in this turn of the event loop."""
        loop = asyncio.get_running_loop()
        endpoint = self._pool.endpoints.get(attempt.server)
        if endpoint is None or not self._may_begin(attempt, endpoint, check_is_wanted=check_is_wanted):
            loop.call_soon(self._end, attempt, Outcome.NOT_SENT)
            return
        self._set_timer(attempt)
        connection = self._pool.take_idle(endpoint)
        if connection is not None:
            self._write(attempt, connection)
        elif self._pool.has_capacity():
            self._pool.connect(attempt, endpoint)
        else:
            loop.call_soon(self._end, attempt, Outcome.NOT_SENT)

    def _may_begin(self, attempt: Attempt, endpoint: PooledEndpoint, *, check_is_wanted: bool) -> bool:
        """Whether the first byte of an attempt may be written now: the one guard before all writing.

        What was decided before a connection was established may no longer hold after it: the idempotency
        window, the deadline, the server's drain (rule 3), the request itself, or the client's interest.  That
        last is asked of the socket where the write is late, as after connecting and in every retry: a busy
        event loop may see a response, or a timer, before an older disconnect.  In the turn that read the
        request the socket was just asked.
        """
        if self._before_writing is not None:
            self._before_writing()
        now = self._clock.now()
        if attempt.is_ended or now >= attempt.send_by or now >= attempt.deadline:
            return False
        if endpoint.is_draining or endpoint.is_excluded:
            return False
        return not check_is_wanted or attempt.is_wanted()

    def _connected(self, attempt: Attempt, endpoint: PooledEndpoint, connection: UpstreamConnection) -> None:
        if self._may_begin(attempt, endpoint, check_is_wanted=True):
            self._write(attempt, connection)
        else:
            self._pool.release(connection)
            self._end(attempt, Outcome.NOT_SENT)

    def _write(self, attempt: Attempt, connection: UpstreamConnection) -> None:
        def on_result(result: Response | ExchangeFailure) -> None:
            self._end(attempt, outcome_of(result), result if isinstance(result, Response) else None)

        def on_streaming(
            source: UpstreamConnection, beginning: Response, length: int | None
        ) -> ResponseSink | None:
            start_streaming = attempt.on_streaming_response
            sink = start_streaming(source, beginning, length) if start_streaming is not None else None
            if sink is not None:
                self._watch_progress(attempt)
            return sink

        attempt.connection = connection
        if attempt.send_by < attempt.deadline:
            self._set_timer(attempt)
        time_left_us = max(attempt.deadline - self._clock.now(), _MIN_REQUEST_TIMEOUT_US)
        request = attempt.make_request(time_left_us)
        takes_streams = attempt.on_streaming_response is not None
        connection.exchange(request, on_result, self._on_written, on_streaming if takes_streams else None)
        if request.upload is not None and not request.upload.is_complete:
            self._watch_progress(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt; its outcome follows."""
        if attempt.is_ended:
            return
        attempt.is_ended = True  # nothing is written for it any more, even when it gets a connection
        if attempt.timer is not None:
            attempt.timer.cancel()
        outcome = Outcome.NOT_SENT
        if attempt.connection is not None:
            attempt.connection.close()
            outcome = Outcome.CANCELLED
        asyncio.get_running_loop().call_soon(attempt.on_ended, outcome, None)

    def cancel_unwritten(self, attempt: Attempt) -> None:
        """Cancel an attempt that is not written yet; one that is written is left to run."""
        if attempt.connection is None:
            self.cancel(attempt)

    def shorten_deadline(self, attempt: Attempt, deadline: int) -> None:
        """Bring the deadline forward, unless the response has begun."""
        is_answered = attempt.connection is not None and attempt.connection.is_streaming_response
        if not attempt.is_ended and not is_answered and deadline < attempt.deadline:
            attempt.deadline = deadline
            self._set_timer(attempt)

    def _end(self, attempt: Attempt, outcome: Outcome, response: Response | None = None) -> None:
        if attempt.is_ended:
            return
        attempt.is_ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.on_ended(outcome, response)

    # Timeouts

    def _set_timer(self, attempt: Attempt) -> None:
        if attempt.timer is not None:
            attempt.timer.cancel()
        is_written = attempt.connection is not None
        due = attempt.deadline if is_written else min(attempt.deadline, attempt.send_by)
        left_s = max(due - self._clock.now(), 0) / 1e6
        attempt.timer = asyncio.get_running_loop().call_later(left_s, self._expire, attempt)

    def _expire(self, attempt: Attempt) -> None:
        if attempt.connection is None:
            # Still connecting: not a byte was written, so it never ran.  Where `send_by` ended it, the server
            # is not to blame.  The clock is not asked, as a timer may fire a moment early.
            is_send_by = attempt.send_by < attempt.deadline
            self._end(attempt, Outcome.NOT_SENT if is_send_by else Outcome.CONNECT_FAILED)
        else:
            attempt.connection.close()
            self._end(attempt, Outcome.TIMED_OUT)

    def _watch_progress(self, attempt: Attempt) -> None:
        """From now on, while a body is streamed, only a lack of progress ends the attempt, no deadline."""
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.last_streamed_bytes = -1
        self._check_progress(attempt)

    def _check_progress(self, attempt: Attempt) -> None:
        """Fail the attempt when its server has sent or taken nothing for the stall timeout."""
        connection = attempt.connection
        if attempt.is_ended or connection is None:
            return
        now, streamed_bytes = self._clock.now(), connection.streamed_bytes
        if streamed_bytes != attempt.last_streamed_bytes or not connection.is_waiting_for_server:
            attempt.last_streamed_bytes, attempt.last_progress_at = streamed_bytes, now
        if now - attempt.last_progress_at >= STALL_TIMEOUT_S * 1e6:
            connection.fail()
            return
        interval_s = STALL_TIMEOUT_S / _PROGRESS_CHECKS_PER_TIMEOUT
        attempt.timer = asyncio.get_running_loop().call_later(interval_s, self._check_progress, attempt)
