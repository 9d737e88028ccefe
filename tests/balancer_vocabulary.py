"""The one place where the reference runs name the balancer's events, actions and enumerations.

Neutral messages are lists that start with a name, as on the simulator's wire; a few names stand for events
that the wire does not carry: `COMPLETE`, `EXCLUDE`, `INCLUDE` and `TIER`.  Renaming an event or an action
changes this module and nothing else of the reference runs.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from balancer import Balancer
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
from balancer.events import (
    AttemptEnded,
    ClientDisconnected,
    ClusterSizeChanged,
    EndpointEntry,
    EndpointExcluded,
    EndpointIncluded,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    HealthCheckEnded,
    Outcome,
    PeerMessageReceived,
    RequestArrived,
    RequestBodyCompleted,
    ResponseStarted,
    TimerFired,
)
from balancer.settings_wire import settings_from_wire
from balancer.simulator_adapter import SimulatorAdapter

__all__ = ["Balancer", "SimulatorAdapter", "begin", "counts", "event", "rendered"]

Message = list[Any]

_LIST_KINDS = {
    "delta": EndpointListKind.CHANGES,
    "full": EndpointListKind.COMPLETE,
    "cached": EndpointListKind.CACHED,
    "failed": EndpointListKind.FAILED,
}
_STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING, "gone": EndpointState.GONE}
_OUTCOMES = {
    "delivered": Outcome.DELIVERED,
    "app_error": Outcome.ERROR,
    "shed": Outcome.FULL,
    "expired": Outcome.TIMED_OUT,
    "dial_failed": Outcome.CONNECT_FAILED,
    "dropped": Outcome.CONNECTION_LOST,
    "revoked": Outcome.CANCELLED,
    "unused": Outcome.NOT_SENT,
}
_HINT_VALID, _CLIENT_RETRY, _WRITE = 1, 2, 4


def begin(seed: int, settings: dict[str, Any]) -> Balancer:
    """Make a balancer of the wire's settings."""
    return Balancer(settings_from_wire(settings), seed)


def counts(balancer: Balancer) -> tuple[int, int]:
    """How many servers are listed, and how many of these are unavailable."""
    counts = balancer.endpoint_counts()
    return counts.listed, counts.unavailable


def _listed(line: Message) -> EndpointEntry:
    server, zone, kind, cell, state, nominal, started_at = line
    return EndpointEntry(server, zone, kind, cell, _STATES[state], float(nominal), started_at)


def _request(m: Message) -> Event:
    _, _, request, kind, tenant, key, remaining_us, cost_us, flags, arriving = m
    cost_hint = cost_us if flags & _HINT_VALID else None
    retry, write = bool(flags & _CLIENT_RETRY), bool(flags & _WRITE)
    return RequestArrived(request, kind, tenant, key, remaining_us, cost_hint, retry, write, arriving)


def _ended(m: Message) -> Event:
    _, _, request, attempt, server, verdict, elapsed_us, answered, report, spent = m
    return AttemptEnded(request, attempt, server, _OUTCOMES[verdict], elapsed_us, answered, report, spent)


_EVENTS: dict[str, Callable[[Message], Event]] = {
    "WORK_ITEM": _request,
    "COMPLETE": lambda m: RequestBodyCompleted(m[2], m[3]),
    "FIRST": lambda m: ResponseStarted(m[2], m[3], m[5], m[4]),
    "ATTEMPT_END": _ended,
    "CLIENT_GONE": lambda m: ClientDisconnected(m[2]),
    "WAKE": lambda m: TimerFired(m[2]),
    "SAMPLED": lambda m: HealthCheckEnded(m[4], _OUTCOMES[m[3]], m[2], m[5]),
    "MEMO": lambda m: PeerMessageReceived(m[2], bytes.fromhex(m[3])),
    "EXCLUDE": lambda m: EndpointExcluded(m[2]),
    "INCLUDE": lambda m: EndpointIncluded(m[2]),
    "TIER": lambda m: ClusterSizeChanged(m[2], m[3], m[4], m[5]),
}


def event(message: Message, pages: dict[int, list[Message]]) -> Event:
    """Translate one neutral message; `pages` holds the numbered server lists."""
    if message[0] != "TARGETS":
        return _EVENTS[message[0]](message)
    _, _, kind, page, version = message
    if kind == "failed":
        return EndpointListReceived(_LIST_KINDS[kind])
    return EndpointListReceived(_LIST_KINDS[kind], [_listed(line) for line in pages[page]], version)


_ACTIONS: dict[type[Any], tuple[str, Callable[[Any], Message]]] = {
    SendAttempt: ("ASSIGN", lambda a: [a.request, a.server, a.deadline, a.send_by]),
    Reject: ("NOT_NOW", lambda a: [a.request, a.retry_after_us]),
    Fail: ("SURRENDER", lambda a: [a.request]),
    CancelAttempt: ("ABORT_ATTEMPT", lambda a: [a.request, a.attempt]),
    SetTimer: ("REMIND", lambda a: [a.delay_us, a.token]),
    HealthCheck: ("CHECK", lambda a: [a.server]),
    CloseIdleConnections: ("SHUT_IDLE", lambda a: [a.server]),
    SendPeerMessage: ("POST", lambda a: [a.receiver, a.payload.hex()]),
    WatchEndpoints: ("FOLLOW", lambda a: [a.is_enabled]),
    PollEndpoints: ("REFRESH", lambda a: []),
    Log: ("REMARK", lambda a: [a.text]),
}


def rendered(who: str, action: Action) -> Message:
    """Write one action as a neutral message."""
    name, values = _ACTIONS[type(action)]
    return [name, who, *values(action)]
