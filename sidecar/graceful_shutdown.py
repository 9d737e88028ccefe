"""Ends a process without losing a request: what was received is answered, then all connections are closed."""

from __future__ import annotations

import asyncio

from balancer.settings import Settings
from sidecar.clock import Clock
from sidecar.downstream.downstream import Downstream
from sidecar.open_requests import OpenRequests
from sidecar.shutdown_state import ShutdownState

_ACCEPT_FOR_S = 0.4  # how long after SIGTERM new connections may keep coming
_QUIET_S = 0.05  # without a new connection, before the listener closes
_KILL_DELAY_S = 0.7  # SIGKILL comes no sooner after SIGTERM than this and the longest deadline
_MAX_DEADLINE_S = 3.0  # as far as longer deadlines count for that
_MAX_STREAMING_S = 600.0  # how long a response that is passed through may delay the end
_RESERVE_S = 0.1  # of the time until SIGKILL, kept for the last responses
_CLOSE_WAIT_S = 0.08  # of that reserve, for clients to read them and close
_POLL_INTERVAL_S = 0.01
_CLOSE_POLL_INTERVAL_S = 0.005


class GracefulShutdown:
    """The shutdown of one process, step by step."""

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
        """Not `owns_listener`: the platform holds the listening socket, and a successor accepts from it."""
        longest_s = max(service_class.deadline_us for service_class in settings.classes) / 1e6
        self._clock = clock
        self._downstream = downstream
        self._requests = requests
        self._state = state
        self._owns_listener = owns_listener
        self._time_s = min(longest_s, _MAX_DEADLINE_S) + _KILL_DELAY_S - _RESERVE_S
        self._began_at_s = 0.0  # by the event loop's clock

    def begin(self) -> None:
        """Ask clients to go elsewhere, and limit the time of their requests."""
        self._began_at_s = asyncio.get_running_loop().time()
        self._state.begin(respond_by=self._clock.now() + int(self._time_s * 1e6))
        self._downstream.drain()

    async def complete_requests(self) -> None:
        """Answer all requests, also those that still come, and wait for clients to close."""
        if self._owns_listener:
            await self._accept_late_connections()
        # In a socket that the platform holds, connections stay queued and the successor accepts them.
        self._downstream.stop_listening(accept_queued=self._owns_listener)
        await self._wait_for_responses()
        self._answer_overdue_requests()
        await self._wait_for_streaming()
        await self._wait_for_clients_to_close()

    async def _accept_late_connections(self) -> None:
        """Keep accepting while new connections keep coming."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(_ACCEPT_FOR_S)
        latest_end_s = self._began_at_s + _KILL_DELAY_S
        while loop.time() < min(self._downstream.last_opened_at + _QUIET_S, latest_end_s):
            await asyncio.sleep(_QUIET_S / 2)

    async def _wait_for_responses(self) -> None:
        loop = asyncio.get_running_loop()
        ends_at_s = self._began_at_s + self._time_s
        while (self._requests.unanswered or not self._downstream.is_empty) and loop.time() < ends_at_s:
            self._downstream.close_idle()
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _answer_overdue_requests(self) -> None:
        for number in self._requests.numbers():
            request = self._requests.get(number)
            if request is not None and request.streaming_attempt is None:
                self._requests.respond(number, 504)

    async def _wait_for_streaming(self) -> None:
        """Let responses that are passed through continue: whoever cuts one off loses it."""
        loop = asyncio.get_running_loop()
        ends_at_s = self._began_at_s + _MAX_STREAMING_S
        while self._downstream.is_streaming_response and loop.time() < ends_at_s:
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _wait_for_clients_to_close(self) -> None:
        """Let clients read the last responses: the end of the process resets what is open."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + _CLOSE_WAIT_S
        while not self._downstream.is_empty and loop.time() < ends_at_s:
            await asyncio.sleep(_CLOSE_POLL_INTERVAL_S)
