"""A modelled copy: the real decisions, with the sidecar's ways of carrying them out, in virtual time."""

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
from testbed.simulation.discovery import WATCH_US, ListAnswer, ModelDiscovery
from testbed.simulation.policies import CountsEndpoints, Policy
from testbed.simulation.queue import EventQueue
from testbed.simulation.servers import ModelServer

EPOCH_US = 1_700_000_000_000_000  # the module's clock at the day's beginning
_IDLE_MARGIN = 0.9  # of the idle limit, after which a connection is not used again
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
    index: int
    number: int  # unique over the day
    server: int
    sent_at: int
    until: int
    epoch: int = -1  # of the server's process that its connection goes to
    is_over: bool = False
    is_written: bool = False


class _Held:
    """A request that was taken."""

    __slots__ = ("answered", "attempts", "out", "work")

    def __init__(self, work: int) -> None:
        self.work = work
        self.attempts: list[_Attempt] = []
        self.answered = False
        self.out = 0


class Place(Protocol):
    """What one process of a copy needs of the rest of the model."""

    queue: EventQueue
    day: ScenarioRun
    settings: Settings
    number: int
    servers: list[ModelServer]
    discovery: ModelDiscovery
    client: Clients

    def link(self, server: int) -> Link:
        """The link to a server."""
        ...

    def next_attempt(self) -> int:
        """The next attempt number, unique in the run."""
        ...

    def connected(self, server: int, *, opened: bool) -> None:
        """Log that a connection to a server was opened or closed."""
        ...

    def tell(self, receiver: int | None, payload: bytes) -> None:
        """Send a datagram to one replica, or to all."""
        ...


class Sidecar:
    """One process of one copy, from its start to its end."""

    def __init__(self, place: Place, policy: Policy, version: int) -> None:
        self._place, self._policy, self._queue = place, policy, place.queue
        self._held: dict[int, _Held] = {}
        self._idle: dict[int, list[tuple[int, int]]] = {}  # by server: (epoch, since), the latest last
        self._listed: dict[int, EntryChange] = {}
        self._events: deque[Event] = deque()
        self._handles = False
        self._version = version
        self._watching = 0  # which watch is the one that counts
        self._watch_runs = self._watch_answered = False
        self._paused: list[Callable[[], None]] | None = None
        self.is_over = False
        self.owed = 0
        known = place.discovery.catalog.full_list(version)
        cached = ListAnswer(version, known, is_complete=True)
        place.discovery.told(place.number, cached)
        self._take_list(cached)
        self._post(place.discovery.event(version, known, EndpointListKind.CACHED))

    # Its life

    def pause(self) -> None:
        """Stop handling events; they wait."""
        if self._paused is None:
            self._paused = []

    def resume(self) -> None:
        """Handle the events that waited, in order, and continue."""
        waiting, self._paused = self._paused or [], None
        for act in waiting:
            act()

    def kill(self) -> list[int]:
        """It is gone; give the requests that it held, and close its connections."""
        self.is_over = True
        for server, idle in self._idle.items():
            for epoch, _ in idle:
                self._closed(server, epoch)
        return [number for number, held in self._held.items() if not held.answered]

    def members(self) -> tuple[int, int] | None:
        """Servers listed, and how many of them are avoided; None where the decisions don't say."""
        if not isinstance(self._policy, CountsEndpoints):
            return None
        counts = self._policy.endpoint_counts()
        return counts.listed, counts.unavailable

    def _when_running(self, act: Callable[[], None]) -> None:
        if self.is_over:
            return
        if self._paused is not None:
            self._paused.append(act)
        else:
            act()

    # Events

    def take(self, request: int, event: RequestArrived, work: int) -> None:
        """A client's request, written to a connection that was accepted."""

        def act() -> None:
            self._held[request] = _Held(work)
            self.owed += 1
            self._post(event)

        self._when_running(act)

    def hear(self, sender: int, payload: bytes) -> None:
        """A datagram of another copy."""
        self._when_running(lambda: self._post(PeerMessageReceived(sender, payload)))

    def _post(self, event: Event) -> None:
        self._events.append(event)
        if self._handles:
            return
        self._handles = True
        try:
            while self._events:
                event = self._events.popleft()
                if isinstance(event, AttemptEnded):
                    held = self._held.get(event.request)
                    event.is_request_answered = held is None or held.answered
                for action in self._policy.handle(EPOCH_US + self._queue.now, event):
                    self._carry_out(action)
                if isinstance(event, (AttemptEnded, ResponseStarted)):
                    self._forget_if_over(event.request)
        finally:
            self._handles = False

    def _carry_out(self, action: object) -> None:
        match action:
            case SendAttempt():
                self._send(action)
            case SetTimer():
                self._queue.after(max(action.delay_us, 0), self._fired, action.token)
            case Reject():
                self._answer(action.request, 503, after_us=action.retry_after_us)
            case Fail():
                self._answer(action.request, 502)
            case CancelAttempt():
                held = self._held.get(action.request)
                if held is not None and action.attempt < len(held.attempts):
                    self._end(held.attempts[action.attempt], Outcome.CANCELLED)
            case CloseIdleConnections():
                self._close_idle(int(action.server[2:]))
            case WatchEndpoints():
                self._follow(wanted=action.is_enabled)
            case PollEndpoints():
                self._place.discovery.call(self._place.number, None, 0, self._fetched)
            case SendPeerMessage():
                self._place.tell(action.receiver, action.payload)
            case _:
                pass  # lines for a log; probes are off

    def _fired(self, token: str) -> None:
        self._when_running(lambda: self._post(TimerFired(token)))

    # The list

    def _follow(self, *, wanted: bool) -> None:
        if wanted and self._watch_runs and not self._watch_answered:
            return
        self._watching += 1
        self._watch_runs = wanted
        self._watch_answered = False
        if wanted:
            self._watch(self._watching, 0)

    def _watch(self, watch: int, wait_us: int) -> None:
        def answered(answer: ListAnswer | None) -> None:
            self._when_running(lambda: self._watched(watch, answer))

        self._place.discovery.call(self._place.number, self._version, wait_us, answered)

    def _watched(self, watch: int, answer: ListAnswer | None) -> None:
        if watch != self._watching:
            return
        if answer is None:
            self._watch_runs = False
            self._post(EndpointListReceived(EndpointListKind.FAILED))
            return
        if answer.is_complete or answer.entries or not self._watch_answered:
            self._watch_answered = True
            self._heard(answer)
        if watch == self._watching:
            self._watch(watch, WATCH_US)

    def _fetched(self, answer: ListAnswer | None) -> None:
        def act() -> None:
            if answer is None:
                self._post(EndpointListReceived(EndpointListKind.FAILED))
            else:
                self._heard(answer)

        self._when_running(act)

    def _heard(self, answer: ListAnswer) -> None:
        self._version = answer.version
        self._place.discovery.told(self._place.number, answer)
        self._take_list(answer)
        kind = EndpointListKind.COMPLETE if answer.is_complete else EndpointListKind.CHANGES
        self._post(self._place.discovery.event(answer.version, answer.entries, kind))

    def _take_list(self, answer: ListAnswer) -> None:
        before = dict(self._listed)
        if answer.is_complete:
            self._listed = {}
        self._listed.update({change.server: change for change in answer.entries})
        for server, old in before.items():
            now = self._listed.get(server)
            if now is None or now.state != "active" or now.started_at_us != old.started_at_us:
                self._close_idle(server)

    # Attempts

    def _send(self, action: SendAttempt) -> None:
        held = self._held[action.request]
        server = int(action.server[2:])
        now = self._queue.now
        until = action.deadline - EPOCH_US
        number = self._place.next_attempt()
        attempt = _Attempt(action.request, len(held.attempts), number, server, now, until)
        held.attempts.append(attempt)
        held.out += 1
        listed = self._listed.get(server)
        if listed is None or listed.state != "active" or until <= now:
            self._queue.at(now, self._ends, attempt, Outcome.NOT_SENT)
            return
        self._queue.at(until, self._expire, attempt)
        epoch = self._idle_connection(server)
        if epoch is not None:
            self._write(attempt, epoch)
        else:
            self._dial(attempt)

    def _idle_connection(self, server: int) -> int | None:
        """The epoch that the most recently used good connection goes to."""
        idle = self._idle.get(server)
        use_within = self._place.settings.limits.idle_timeout_us * _IDLE_MARGIN
        while idle:
            epoch, since = idle.pop()
            # A cut hides that the server has restarted.
            seems_open = epoch == self._place.servers[server].epoch or self._place.link(server).is_cut(
                self._queue.now
            )
            if seems_open and self._queue.now - since < use_within:
                return epoch
            self._closed(server, epoch)
        return None

    def _dial(self, attempt: _Attempt) -> None:
        """A connection takes one way there and one back; a cut or silent one never comes up."""
        now, link = self._queue.now, self._place.link(attempt.server)
        there = link.arrival(now)
        if link.is_cut(now) or there >= NEVER:
            within = self._place.settings.limits.connect_timeout_us
            self._queue.at(now + within, self._ends, attempt, Outcome.CONNECT_FAILED)
            return
        self._queue.at(there + (there - now), self._dialled, attempt)

    def _dialled(self, attempt: _Attempt) -> None:
        server = self._place.servers[attempt.server]
        if not server.is_up or server.open >= server.server.max_connections:
            self._ends(attempt, Outcome.CONNECT_FAILED)
            return
        server.open += 1
        self._place.connected(attempt.server, opened=True)
        epoch = server.epoch

        def act() -> None:
            if attempt.is_over:
                self._free(attempt.server, epoch)
            else:
                self._write(attempt, epoch)

        if self.is_over:
            self._closed(attempt.server, epoch)
        self._when_running(act)

    def _write(self, attempt: _Attempt, epoch: int) -> None:
        attempt.epoch, attempt.is_written = epoch, True
        at = self._place.link(attempt.server).arrival(self._queue.now)
        if at >= NEVER:
            return
        work = self._held[attempt.request].work
        self._queue.at(
            at,
            self._place.servers[attempt.server].arrive,
            self._place.number,
            attempt.request,
            attempt.number,
            self._queue.now,
            work,
            epoch,
            lambda how: self._when_running(lambda: self._came_back(attempt, how)),
        )

    def _came_back(self, attempt: _Attempt, how: str) -> None:
        if attempt.is_over:
            return
        outcome = _OUTCOMES[how]
        if outcome is Outcome.CONNECTION_LOST:
            self._closed(attempt.server, attempt.epoch)
        else:
            self._free(attempt.server, attempt.epoch)
        attempt.is_written = False  # its connection is another's now
        if outcome is Outcome.DELIVERED:
            self._answer(attempt.request, 200, attempt.number)
        self._end(attempt, outcome)

    def _expire(self, attempt: _Attempt) -> None:
        outcome = Outcome.TIMED_OUT if attempt.is_written else Outcome.CONNECT_FAILED
        self._when_running(lambda: self._end(attempt, outcome))

    def _ends(self, attempt: _Attempt, outcome: Outcome) -> None:
        self._when_running(lambda: self._end(attempt, outcome))

    def _end(self, attempt: _Attempt, outcome: Outcome) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        if attempt.is_written:
            self._closed(attempt.server, attempt.epoch)
        self._held[attempt.request].out -= 1
        elapsed = self._queue.now - attempt.sent_at
        name = f"s-{attempt.server}"
        self._post(
            AttemptEnded(attempt.request, attempt.index, name, outcome, elapsed, is_request_answered=False)
        )

    # Connections

    def _free(self, server: int, epoch: int) -> None:
        listed = self._listed.get(server)
        if listed is None or listed.state != "active":
            self._closed(server, epoch)
        else:
            self._idle.setdefault(server, []).append((epoch, self._queue.now))

    def _close_idle(self, server: int) -> None:
        for epoch, _ in self._idle.pop(server, ()):
            self._closed(server, epoch)

    def _closed(self, server: int, epoch: int) -> None:
        other = self._place.servers[server]
        if other.epoch == epoch:
            other.open -= 1
        self._place.connected(server, opened=False)

    # Answers

    def _answer(self, request: int, status: int, attempt: int = -1, after_us: int = 0) -> None:
        held = self._held.get(request)
        if held is None or held.answered:
            return
        held.answered = True
        self.owed -= 1
        self._place.client.answered(request, status, attempt, after_us)
        self._forget_if_over(request)

    def _forget_if_over(self, request: int) -> None:
        held = self._held.get(request)
        if held is not None and held.answered and not held.out:
            del self._held[request]
