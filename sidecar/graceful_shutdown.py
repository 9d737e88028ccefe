"""Shuts a process down without losing requests: answers all that were received, then closes connections."""

from __future__ import annotations

import asyncio

from balancer.settings import Settings
from sidecar.clock import Clock
from sidecar.downstream.downstream import Downstream
from sidecar.open_requests import OpenRequests
from sidecar.shutdown_state import ShutdownState

_ACCEPT_PERIOD_S = 0.4  # after SIGTERM, in which new connections are always accepted
_ACCEPT_QUIET_PERIOD_S = 0.05  # without a new connection, after which the listener is closed
_KILL_DELAY_S = 0.7  # SIGKILL follows SIGTERM no sooner than the longest deadline plus this time
_MAX_DEADLINE_S = 3.0  # longer deadlines count as this time for the delay of SIGKILL
_MAX_STREAMING_S = 600.0  # longest delay of the exit by responses that are being streamed
_RESPONSE_RESERVE_S = 0.1  # reserved before SIGKILL for sending the last responses
_CLOSE_TIMEOUT_S = 0.08  # part of that reserve in which clients may read the last responses and close
_POLL_INTERVAL_S = 0.01
_CLOSE_POLL_INTERVAL_S = 0.005


class GracefulShutdown:
    """The steps of a graceful shutdown of one process."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        downstream: Downstream,
        requests: OpenRequests,
        state: ShutdownState,
        *,
        owns_listener: bool,
    ) -> None:
        """Without `owns_listener`, the platform holds the listening socket, and a new process uses it."""
        longest_deadline_s = max(service_class.deadline_us for service_class in settings.classes) / 1e6
        self._clock = clock
        self._downstream = downstream
        self._requests = requests
        self._state = state
        self._owns_listener = owns_listener
        self._response_period_s = (
            min(longest_deadline_s, _MAX_DEADLINE_S) + _KILL_DELAY_S - _RESPONSE_RESERVE_S
        )
        self._started_at_s = 0.0  # on the event loop's clock

    def begin(self) -> None:
        """Start draining clients, and set the time by which all requests must be answered."""
        self._started_at_s = asyncio.get_running_loop().time()
        self._state.begin(respond_by=self._clock.now() + int(self._response_period_s * 1e6))
        self._downstream.drain()

    async def complete_requests(self) -> None:
        """Answer all requests, including those that still arrive, and wait for clients to close."""
        if self._owns_listener:
            await self._accept_late_connections()
        # Connections that are queued in a socket held by the platform are accepted by the new process.
        self._downstream.stop_listening(accept_queued=self._owns_listener)
        await self._wait_for_responses()
        self._answer_overdue_requests()
        self._downstream.reject_incomplete_requests()
        await self._wait_for_streaming()
        await self._wait_for_clients_to_close()

    async def _accept_late_connections(self) -> None:
        """Keep accepting until no new connection has arrived for the quiet period."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(_ACCEPT_PERIOD_S)
        ends_at_s = self._started_at_s + _KILL_DELAY_S
        while loop.time() < min(self._downstream.last_opened_at + _ACCEPT_QUIET_PERIOD_S, ends_at_s):
            await asyncio.sleep(_ACCEPT_QUIET_PERIOD_S / 2)

    async def _wait_for_responses(self) -> None:
        loop = asyncio.get_running_loop()
        ends_at_s = self._started_at_s + self._response_period_s
        while (self._requests.unanswered or not self._downstream.is_empty) and loop.time() < ends_at_s:
            self._downstream.close_idle()
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _answer_overdue_requests(self) -> None:
        for number in self._requests.numbers():
            request = self._requests.get(number)
            if request is not None and request.streaming_attempt is None:
                self._requests.respond(number, 504)

    async def _wait_for_streaming(self) -> None:
        """Wait until responses that are being streamed are complete, as they would be truncated otherwise."""
        loop = asyncio.get_running_loop()
        ends_at_s = self._started_at_s + _MAX_STREAMING_S
        while self._downstream.is_streaming_response and loop.time() < ends_at_s:
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _wait_for_clients_to_close(self) -> None:
        """Let clients read the last responses: connections still open when the process exits are reset."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + _CLOSE_TIMEOUT_S
        while not self._downstream.is_empty and loop.time() < ends_at_s:
            await asyncio.sleep(_CLOSE_POLL_INTERVAL_S)
