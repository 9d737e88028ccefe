"""A simulated sidecar process: a policy, and the actions as the sidecar executes them, in virtual time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from balancer.actions import (
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    PollEndpoints,
    Reject,
    SendAttempt,
    SendPeerMessage,
    SetTimer,
    WatchEndpoints,
)
from balancer.events import (
    AttemptEnded,
    EndpointListKind,
    EndpointListReceived,
    Event,
    Outcome,
    PeerMessageReceived,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from balancer.settings import Settings
from testbed.catalog import EntryChange
from testbed.links import NEVER, Link
from testbed.scenario.scenario_run import ScenarioRun
from testbed.simulation.clients import Clients
from testbed.simulation.discovery import WATCH_US, ListResponse, SimulatedDiscovery
from testbed.simulation.policies import CountsEndpoints, Policy
from testbed.simulation.queue import EventQueue
from testbed.simulation.servers import SimulatedServer

RUN_START_US = 1_700_000_000_000_000  # the balancer's clock at the start of the run
_IDLE_REUSE_FRACTION = 0.9  # of the idle timeout; a connection that is idle for longer is not reused
_OUTCOMES = {
    "served": Outcome.DELIVERED,
    "error": Outcome.ERROR,
    "full": Outcome.FULL,
    "lost": Outcome.CONNECTION_LOST,
    "cut off": Outcome.CONNECTION_LOST,
}


@dataclass(slots=True)
class _Attempt:
    request: int
    index: int  # within the request
    number: int  # unique in the run
    server: int
    sent_at: int
    deadline: int
    incarnation: int = -1  # of the server, when the attempt's connection was opened
    has_ended: bool = False
    holds_connection: bool = False  # from the writing of the attempt to the end of its response


class _Request:
    """An accepted request, until it is answered and all of its attempts have ended."""

    __slots__ = ("attempts", "is_answered", "pending_attempts", "work_us")

    def __init__(self, work_us: int) -> None:
        self.work_us = work_us
        self.attempts: list[_Attempt] = []
        self.is_answered = False
        self.pending_attempts = 0


class ProcessContext(Protocol):
    """What a process uses of its replica and of the rest of the simulation."""

    queue: EventQueue
    run: ScenarioRun
    settings: Settings
    number: int
    servers: list[SimulatedServer]
    discovery: SimulatedDiscovery
    clients: Clients

    def link(self, server: int) -> Link:
        """The link to a server."""
        ...

    def next_attempt(self) -> int:
        """The next attempt number, unique in the run."""
        ...

    def log_connection(self, server: int, *, opened: bool) -> None:
        """Log that a connection to a server was opened or closed."""
        ...

    def send_datagram(self, receiver: int | None, payload: bytes) -> None:
        """Send a datagram to one replica, or to all."""
        ...


class SidecarProcess:
    """One process of a replica, from its start to its end."""

    def __init__(self, context: ProcessContext, policy: Policy, version: int) -> None:
        """Start with the endpoint list of the given version, as if it was cached."""
        self._context, self._policy, self._queue = context, policy, context.queue
        self._requests: dict[int, _Request] = {}
        # Idle connections by server: (incarnation, idle since), the most recently used one last.
        self._idle: dict[int, list[tuple[int, int]]] = {}
        self._listed: dict[int, EntryChange] = {}
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._version = version
        self._current_watch = 0  # responses to watches with another number are ignored
        self._is_watching = self._is_watch_answered = False
        self._paused_calls: list[Callable[[], None]] | None = None  # None: not paused
        self.has_ended = False
        self.pending_requests = 0
        entries = context.discovery.catalog.full_list(version)
        cached = ListResponse(version, entries, is_complete=True)
        context.discovery.log_delivery(context.number, cached)
        self._apply_list(cached)
        self._post(context.discovery.list_event(version, entries, EndpointListKind.CACHED))

    # Pause, resume and end

    def pause(self) -> None:
        """Delay the handling of all events until `resume`."""
        if self._paused_calls is None:
            self._paused_calls = []

    def resume(self) -> None:
        """Handle the delayed events in order, and continue."""
        calls, self._paused_calls = self._paused_calls or [], None
        for call in calls:
            call()

    def kill(self) -> list[int]:
        """End the process and close its idle connections; return the requests that it has not answered."""
        self.has_ended = True
        for server, connections in self._idle.items():
            for incarnation, _ in connections:
                self._close_connection(server, incarnation)
        return [number for number, request in self._requests.items() if not request.is_answered]

    def endpoint_counts(self) -> tuple[int, int] | None:
        """Count the listed and the unavailable endpoints; None if the policy doesn't count them."""
        if not isinstance(self._policy, CountsEndpoints):
            return None
        counts = self._policy.endpoint_counts()
        return counts.listed, counts.unavailable

    def _when_running(self, call: Callable[[], None]) -> None:
        """Make a call now, or after a pause; drop it if the process has ended."""
        if self.has_ended:
            return
        if self._paused_calls is not None:
            self._paused_calls.append(call)
        else:
            call()

    # Events and actions

    def accept(self, request: int, event: RequestArrived, work_us: int) -> None:
        """Accept a request that a client wrote to an accepted connection."""

        def handle() -> None:
            self._requests[request] = _Request(work_us)
            self.pending_requests += 1
            self._post(event)

        self._when_running(handle)

    def receive_datagram(self, sender: int, payload: bytes) -> None:
        """Handle a datagram from another replica."""
        self._when_running(lambda: self._post(PeerMessageReceived(sender, payload)))

    def _post(self, event: Event) -> None:
        """Handle an event; events that its actions cause are handled after it, in order."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                event = self._events.popleft()
                if isinstance(event, AttemptEnded):
                    request = self._requests.get(event.request)
                    event.is_request_answered = request is None or request.is_answered
                for action in self._policy.handle(RUN_START_US + self._queue.now, event):
                    self._execute(action)
                if isinstance(event, (AttemptEnded, ResponseStarted)):
                    self._forget_if_over(event.request)
        finally:
            self._is_handling = False

    def _execute(self, action: object) -> None:
        match action:
            case SendAttempt():
                self._send_attempt(action)
            case SetTimer():
                self._queue.after(max(action.delay_us, 0), self._timer_fired, action.token)
            case Reject():
                self._answer(action.request, 503, retry_after_us=action.retry_after_us)
            case Fail():
                self._answer(action.request, 502)
            case CancelAttempt():
                request = self._requests.get(action.request)
                if request is not None and action.attempt < len(request.attempts):
                    self._end_attempt(request.attempts[action.attempt], Outcome.CANCELLED)
            case CloseIdleConnections():
                self._close_idle_connections(int(action.server[2:]))
            case WatchEndpoints():
                self._set_watching(is_enabled=action.is_enabled)
            case PollEndpoints():
                self._context.discovery.call(self._context.number, None, 0, self._poll_answered)
            case SendPeerMessage():
                self._context.send_datagram(action.receiver, action.payload)
            case _:
                pass  # log lines are not simulated, and health checks are switched off

    def _timer_fired(self, token: str) -> None:
        self._when_running(lambda: self._post(TimerFired(token)))

    # Discovery

    def _set_watching(self, *, is_enabled: bool) -> None:
        """Start a new watch or end the current one; a watch whose first response is pending goes on."""
        if is_enabled and self._is_watching and not self._is_watch_answered:
            return
        self._current_watch += 1
        self._is_watching = is_enabled
        self._is_watch_answered = False
        if is_enabled:
            self._call_watch(self._current_watch, 0)

    def _call_watch(self, watch: int, wait_us: int) -> None:
        def on_response(response: ListResponse | None) -> None:
            self._when_running(lambda: self._watch_answered(watch, response))

        self._context.discovery.call(self._context.number, self._version, wait_us, on_response)

    def _watch_answered(self, watch: int, response: ListResponse | None) -> None:
        if watch != self._current_watch:
            return
        if response is None:
            self._is_watching = False
            self._post(EndpointListReceived(EndpointListKind.FAILED))
            return
        if response.is_complete or response.entries or not self._is_watch_answered:
            self._is_watch_answered = True
            self._receive_list(response)
        if watch == self._current_watch:
            self._call_watch(watch, WATCH_US)

    def _poll_answered(self, response: ListResponse | None) -> None:
        def handle() -> None:
            if response is None:
                self._post(EndpointListReceived(EndpointListKind.FAILED))
            else:
                self._receive_list(response)

        self._when_running(handle)

    def _receive_list(self, response: ListResponse) -> None:
        self._version = response.version
        self._context.discovery.log_delivery(self._context.number, response)
        self._apply_list(response)
        kind = EndpointListKind.COMPLETE if response.is_complete else EndpointListKind.CHANGES
        self._post(self._context.discovery.list_event(response.version, response.entries, kind))

    def _apply_list(self, response: ListResponse) -> None:
        """Update the listed endpoints; close idle connections to those that left or were restarted."""
        old_entries = dict(self._listed)
        if response.is_complete:
            self._listed = {}
        self._listed.update({change.server: change for change in response.entries})
        for server, old in old_entries.items():
            new = self._listed.get(server)
            if new is None or new.state != "active" or new.started_at_us != old.started_at_us:
                self._close_idle_connections(server)

    # Attempts

    def _send_attempt(self, action: SendAttempt) -> None:
        request = self._requests[action.request]
        server = int(action.server[2:])
        now = self._queue.now
        deadline = action.deadline - RUN_START_US
        number = self._context.next_attempt()
        attempt = _Attempt(action.request, len(request.attempts), number, server, now, deadline)
        request.attempts.append(attempt)
        request.pending_attempts += 1
        listed = self._listed.get(server)
        if listed is None or listed.state != "active" or deadline <= now:
            self._queue.at(now, self._attempt_failed, attempt, Outcome.NOT_SENT)
            return
        self._queue.at(deadline, self._attempt_timed_out, attempt)
        incarnation = self._take_idle_connection(server)
        if incarnation is not None:
            self._write(attempt, incarnation)
        else:
            self._connect(attempt)

    def _take_idle_connection(self, server: int) -> int | None:
        """Take the most recently used idle connection to a server that seems open and is not too old.

        Returns:
            The server's incarnation when the connection was opened; None if there is no such connection.
        """
        connections = self._idle.get(server)
        max_idle_us = self._context.settings.limits.idle_timeout_us * _IDLE_REUSE_FRACTION
        while connections:
            incarnation, idle_since = connections.pop()
            # During a cut, the replica can't notice that the server has restarted.
            is_current = incarnation == self._context.servers[server].incarnation
            seems_open = is_current or self._context.link(server).is_cut(self._queue.now)
            if seems_open and self._queue.now - idle_since < max_idle_us:
                return incarnation
            self._close_connection(server, incarnation)
        return None

    def _connect(self, attempt: _Attempt) -> None:
        """Open a connection, which takes one round trip; during a cut it fails by the connect timeout."""
        now, link = self._queue.now, self._context.link(attempt.server)
        arrives_at = link.arrival(now)
        if link.is_cut(now) or arrives_at >= NEVER:
            connect_timeout_us = self._context.settings.limits.connect_timeout_us
            self._queue.at(now + connect_timeout_us, self._attempt_failed, attempt, Outcome.CONNECT_FAILED)
            return
        self._queue.at(arrives_at + (arrives_at - now), self._connected, attempt)

    def _connected(self, attempt: _Attempt) -> None:
        server = self._context.servers[attempt.server]
        if not server.is_up or server.open_connections >= server.server.max_connections:
            self._attempt_failed(attempt, Outcome.CONNECT_FAILED)
            return
        server.open_connections += 1
        self._context.log_connection(attempt.server, opened=True)
        incarnation = server.incarnation

        def use_connection() -> None:
            if attempt.has_ended:
                self._release_connection(attempt.server, incarnation)
            else:
                self._write(attempt, incarnation)

        if self.has_ended:
            self._close_connection(attempt.server, incarnation)
        self._when_running(use_connection)

    def _write(self, attempt: _Attempt, incarnation: int) -> None:
        attempt.incarnation, attempt.holds_connection = incarnation, True
        at = self._context.link(attempt.server).arrival(self._queue.now)
        if at >= NEVER:
            return
        work_us = self._requests[attempt.request].work_us
        self._queue.at(
            at,
            self._context.servers[attempt.server].receive_attempt,
            self._context.number,
            attempt.request,
            attempt.number,
            self._queue.now,
            work_us,
            incarnation,
            lambda outcome: self._when_running(lambda: self._response_received(attempt, outcome)),
        )

    def _response_received(self, attempt: _Attempt, server_outcome: str) -> None:
        if attempt.has_ended:
            return
        outcome = _OUTCOMES[server_outcome]
        if outcome is Outcome.CONNECTION_LOST:
            self._close_connection(attempt.server, attempt.incarnation)
        else:
            self._release_connection(attempt.server, attempt.incarnation)
        attempt.holds_connection = False  # so that the end of the attempt doesn't close it
        if outcome is Outcome.DELIVERED:
            self._answer(attempt.request, 200, attempt.number)
        self._end_attempt(attempt, outcome)

    def _attempt_timed_out(self, attempt: _Attempt) -> None:
        outcome = Outcome.TIMED_OUT if attempt.holds_connection else Outcome.CONNECT_FAILED
        self._when_running(lambda: self._end_attempt(attempt, outcome))

    def _attempt_failed(self, attempt: _Attempt, outcome: Outcome) -> None:
        self._when_running(lambda: self._end_attempt(attempt, outcome))

    def _end_attempt(self, attempt: _Attempt, outcome: Outcome) -> None:
        """End an attempt once: close the connection that it holds, and tell the policy."""
        if attempt.has_ended:
            return
        attempt.has_ended = True
        if attempt.holds_connection:
            self._close_connection(attempt.server, attempt.incarnation)
        self._requests[attempt.request].pending_attempts -= 1
        elapsed_us = self._queue.now - attempt.sent_at
        server = f"s-{attempt.server}"
        self._post(
            AttemptEnded(
                attempt.request, attempt.index, server, outcome, elapsed_us, is_request_answered=False
            )
        )

    # Connections

    def _release_connection(self, server: int, incarnation: int) -> None:
        """Keep a connection as idle, or close it if its server is not listed as active."""
        listed = self._listed.get(server)
        if listed is None or listed.state != "active":
            self._close_connection(server, incarnation)
        else:
            self._idle.setdefault(server, []).append((incarnation, self._queue.now))

    def _close_idle_connections(self, server: int) -> None:
        for incarnation, _ in self._idle.pop(server, ()):
            self._close_connection(server, incarnation)

    def _close_connection(self, server: int, incarnation: int) -> None:
        simulated_server = self._context.servers[server]
        # The end of an incarnation has already reset the count of its connections.
        if simulated_server.incarnation == incarnation:
            simulated_server.open_connections -= 1
        self._context.log_connection(server, opened=False)

    # Responses to clients

    def _answer(self, number: int, status: int, attempt: int = -1, retry_after_us: int = 0) -> None:
        request = self._requests.get(number)
        if request is None or request.is_answered:
            return
        request.is_answered = True
        self.pending_requests -= 1
        self._context.clients.receive_response(number, status, attempt, retry_after_us)
        self._forget_if_over(number)

    def _forget_if_over(self, number: int) -> None:
        request = self._requests.get(number)
        if request is not None and request.is_answered and not request.pending_attempts:
            del self._requests[number]
