"""Executes the actions that the balancer returns."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    HealthCheck,
    Log,
    PollEndpoints,
    Reject,
    SendAttempt,
    SendPeerMessage,
    SetTimer,
    WatchEndpoints,
)
from balancer.events import Event, Outcome, TimerFired
from sidecar.attempts import Attempts
from sidecar.clock import Clock
from sidecar.cluster.limits import MAX_DATAGRAM_BYTES
from sidecar.discovery.discovery import Discovery
from sidecar.http import Headers
from sidecar.log_events import BalancerLine, EventLog, PeerMessageNotSent
from sidecar.open_requests import OpenRequests
from sidecar.peers import Peers
from sidecar.upstream.upstream import Upstream


class ActionExecutor:
    """Passes each action to the component that executes it."""

    def __init__(
        self,
        clock: Clock,
        requests: OpenRequests,
        attempts: Attempts,
        upstream: Upstream,
        discovery: Discovery,
        peers: Peers,
        dispatch: Callable[[Event], None],
        log: EventLog,
        *,
        sends_retry_after: bool,
    ) -> None:
        """If `sends_retry_after` is set, rejections carry a Retry-After header."""
        self._clock = clock
        self._requests = requests
        self._attempts = attempts
        self._upstream = upstream
        self._discovery = discovery
        self._peers = peers
        self._dispatch = dispatch
        self._log = log
        self._sends_retry_after = sends_retry_after

    def execute(self, action: Action) -> None:
        """Execute one action."""
        match action:
            case SendAttempt():
                self._attempts.send(action)
            case SetTimer():
                self._set_timer(self._clock.now() + action.delay_us, action.token)
            case Reject():
                self._reject(action)
            case Fail():
                self._fail(action)
            case CancelAttempt():
                self._attempts.cancel(action)
            case CloseIdleConnections():
                self._upstream.close_idle(action.server)
            case WatchEndpoints():
                self._discovery.watch(is_enabled=action.is_enabled)
            case PollEndpoints():
                self._discovery.poll()
            case HealthCheck():
                self._attempts.send_health_check(action.server)
            case SendPeerMessage():
                self._send_peer_message(action)
            case Log():
                self._log(BalancerLine(action.text))

    def _send_peer_message(self, action: SendPeerMessage) -> None:
        if not self._peers.send(action.receiver, action.payload):
            self._log(PeerMessageNotSent(MAX_DATAGRAM_BYTES))

    def _reject(self, action: Reject) -> None:
        headers: Headers = []
        if action.retry_after_us > 0 and self._sends_retry_after:
            headers.append((b"retry-after", b"%.3f" % (action.retry_after_us / 1e6)))
        self._requests.respond(action.request, 503, headers)

    def _fail(self, action: Fail) -> None:
        request = self._requests.get(action.request)
        is_timeout = request is not None and request.last_outcome in (None, Outcome.TIMED_OUT)
        self._requests.respond(action.request, 504 if is_timeout else 502)

    def _set_timer(self, due: int, token: str) -> None:
        """Dispatch TimerFired at the clock time `due` (microseconds), never before it."""

        def on_timeout() -> None:
            if self._clock.now() < due:
                self._set_timer(due, token)  # the event loop's timer fired early
            else:
                self._dispatch(TimerFired(token))

        delay_s = (due - self._clock.now()) / 1e6
        asyncio.get_running_loop().call_later(max(delay_s, 0.0), on_timeout)
