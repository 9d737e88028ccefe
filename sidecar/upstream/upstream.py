"""Sends attempts to servers: checks that they may still be written, times them out, reports outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.events import Outcome
from balancer.settings import Limits
from sidecar.clock import Clock
from sidecar.discovery.endpoint_list import EndpointList
from sidecar.downstream.flow_control import MAX_BUFFERED_BODY_BYTES, STALL_TIMEOUT_S
from sidecar.interfaces import ResponseSink
from sidecar.memory_budget import MemoryBudget
from sidecar.memory_limits import MAX_READ_BYTES
from sidecar.upstream.attempt import Attempt, outcome_of
from sidecar.upstream.connection_pool import ConnectionPool, PooledEndpoint
from sidecar.upstream.http_exchange import ExchangeFailure, Response, UpstreamConnection

_MIN_REQUEST_TIMEOUT_US = 1_000  # the least that is sent to a server, even if less time is left
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
        max_read_bytes: int = MAX_READ_BYTES,
        response_memory: MemoryBudget | None = None,
    ) -> None:
        """`on_written` is called when the last byte of a request was passed to the system.

        `before_writing` is called before each decision to write, and may exclude servers.  At most
        `max_read_bytes` are read from a connection at a time.  Responses that are buffered count in
        `response_memory`.
        """
        self._clock = clock
        self._on_written = on_written
        self._before_writing = before_writing
        self._pool = ConnectionPool(
            clock, limits, max_connections, self._connected, self._end, max_read_bytes, response_memory
        )

    # Endpoints

    def update_endpoints(self, endpoint_list: EndpointList) -> None:
        """Apply an endpoint list or its changes; called before the actions that result from them."""
        self._pool.update_endpoints(endpoint_list)

    @property
    def excluded(self) -> frozenset[str]:
        """The servers that operators have excluded."""
        return frozenset(self._pool.excluded)

    def exclude(self, name: str) -> None:
        """Write no further request to a server; called before the actions that result from it."""
        self._pool.exclude(name)

    def include(self, name: str) -> None:
        """Revoke `exclude`."""
        self._pool.include(name)

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a server, if it is listed."""
        self._pool.close_idle(name)

    @property
    def open_connections(self) -> int:
        """The number of connections, including those being established."""
        return self._pool.open_connections

    def resize(self, max_connections: int) -> None:
        """Change the limit on connections; the longest idle ones are closed to meet it."""
        self._pool.resize(max_connections)

    def close(self) -> None:
        """Close all connections; attempts in flight are dropped."""
        self._pool.close()

    # Attempts

    def start(self, attempt: Attempt, *, check_is_wanted: bool = False) -> None:
        """Start an attempt; `check_is_wanted` if its request was read in an earlier event loop iteration."""
        loop = asyncio.get_running_loop()
        endpoint = self._pool.endpoints.get(attempt.server)
        if endpoint is None or not self._may_write(attempt, endpoint, check_is_wanted=check_is_wanted):
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

    def _may_write(self, attempt: Attempt, endpoint: PooledEndpoint, *, check_is_wanted: bool) -> bool:
        """Whether the first byte of an attempt may be written now; checked before every write.

        The decision to send the attempt may be outdated, for example after connecting: the idempotency window
        or the deadline may be over, the server may be draining and must get no new request, the request may
        have been answered, or its client may have disconnected.  The disconnect is checked on the client's
        socket after connecting and for every retry, because a busy event loop may process a response or a
        timer before an older disconnect.  For a first attempt, the socket was checked when the request was
        read, in the same event loop iteration.
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
        if self._may_write(attempt, endpoint, check_is_wanted=True):
            self._write(attempt, connection)
        else:
            self._pool.release(connection)
            self._end(attempt, Outcome.NOT_SENT)

    def _write(self, attempt: Attempt, connection: UpstreamConnection) -> None:
        if not attempt.may_execute():
            self._pool.release(connection)
            asyncio.get_running_loop().call_soon(self._end, attempt, Outcome.NOT_SENT)
            return

        def on_result(result: Response | ExchangeFailure) -> None:
            self._end(attempt, outcome_of(result), result if isinstance(result, Response) else None)

        def on_streaming_response(
            source: UpstreamConnection, beginning: Response, length: int | None
        ) -> ResponseSink | None:
            start_streaming = attempt.on_streaming_response
            sink = start_streaming(source, beginning, length) if start_streaming is not None else None
            if sink is not None and (length is None or length > MAX_BUFFERED_BODY_BYTES):
                self._watch_progress(attempt)
            return sink

        def on_written() -> None:
            attempt.is_written = True
            self._on_written()

        attempt.connection = connection
        if attempt.send_by < attempt.deadline:
            self._set_timer(attempt)
        time_left_us = max(attempt.deadline - self._clock.now(), _MIN_REQUEST_TIMEOUT_US)
        request = attempt.make_request(time_left_us)
        accepts_streaming = attempt.on_streaming_response is not None
        connection.exchange(
            request, on_result, on_written, on_streaming_response if accepts_streaming else None
        )
        if request.upload is not None and not request.upload.is_complete:
            self._watch_progress(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt; its `on_ended` is called later."""
        if attempt.is_ended:
            return
        attempt.is_ended = True  # it is not written, even if its connection is established later
        if attempt.timer is not None:
            attempt.timer.cancel()
        outcome = Outcome.NOT_SENT
        if attempt.connection is not None:
            attempt.connection.close()
            outcome = Outcome.CANCELLED
        asyncio.get_running_loop().call_soon(attempt.on_ended, outcome, None)

    def withdraw(self, attempt: Attempt) -> None:
        """Cancel an attempt that no server can execute: its request is not written, or stays incomplete."""
        connection = attempt.connection
        if connection is None or connection.is_sending_body:
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
        remaining_s = max(due - self._clock.now(), 0) / 1e6
        attempt.timer = asyncio.get_running_loop().call_later(remaining_s, self._expire, attempt)

    def _expire(self, attempt: Attempt) -> None:
        if attempt.connection is None:
            # Still connecting: nothing was written, so the request did not run.  If `send_by` ended the
            # attempt, the server did not fail.  The limits are compared with each other, not with the clock,
            # because a timer may fire slightly early.
            is_ended_by_send_by = attempt.send_by < attempt.deadline
            self._end(attempt, Outcome.NOT_SENT if is_ended_by_send_by else Outcome.CONNECT_FAILED)
        elif attempt.connection.is_streaming_response:
            attempt.connection.fail()  # a short response, which was only streamed to save memory
        else:
            attempt.connection.close()
            self._end(attempt, Outcome.TIMED_OUT)

    def _watch_progress(self, attempt: Attempt) -> None:
        """Time the attempt out by lack of progress instead of its deadline, once a body is streamed."""
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
