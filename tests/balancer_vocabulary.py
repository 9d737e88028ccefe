"""Translates between messages of the reference runs and the balancer's events and actions.

Messages are lists that start with a name, as on the simulator's wire.  The names `COMPLETE`, `EXCLUDE`,
`INCLUDE` and `TIER` stand for events that the wire does not support.  Only this module of the reference runs
depends on the names of events, actions and enumerations.
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
    """Create a balancer with settings in wire format."""
    return Balancer(settings_from_wire(settings), seed)


def counts(balancer: Balancer) -> tuple[int, int]:
    """Return how many servers are listed, and how many of these are unavailable."""
    endpoint_counts = balancer.endpoint_counts()
    return endpoint_counts.listed, endpoint_counts.unavailable


def _endpoint_entry(entry: Message) -> EndpointEntry:
    server, zone, kind, cell, state, nominal, started_at = entry
    return EndpointEntry(server, zone, kind, cell, _STATES[state], float(nominal), started_at)


def _request_arrived(m: Message) -> Event:
    _, _, request, class_name, tenant, key, remaining_us, cost_us, flags, is_streaming = m
    cost_hint = cost_us if flags & _HINT_VALID else None
    is_retry, is_write = bool(flags & _CLIENT_RETRY), bool(flags & _WRITE)
    return RequestArrived(
        request, class_name, tenant, key, remaining_us, cost_hint, is_retry, is_write, is_streaming
    )


def _attempt_ended(m: Message) -> Event:
    _, _, request, attempt, server, outcome, elapsed_us, is_answered, report, is_consumed = m
    return AttemptEnded(
        request, attempt, server, _OUTCOMES[outcome], elapsed_us, is_answered, report, is_consumed
    )


_EVENTS: dict[str, Callable[[Message], Event]] = {
    "WORK_ITEM": _request_arrived,
    "COMPLETE": lambda m: RequestBodyCompleted(m[2], m[3]),
    "FIRST": lambda m: ResponseStarted(m[2], m[3], m[5], m[4]),
    "ATTEMPT_END": _attempt_ended,
    "CLIENT_GONE": lambda m: ClientDisconnected(m[2]),
    "WAKE": lambda m: TimerFired(m[2]),
    "SAMPLED": lambda m: HealthCheckEnded(m[4], _OUTCOMES[m[3]], m[2], m[5]),
    "MEMO": lambda m: PeerMessageReceived(m[2], bytes.fromhex(m[3])),
    "EXCLUDE": lambda m: EndpointExcluded(m[2]),
    "INCLUDE": lambda m: EndpointIncluded(m[2]),
    "TIER": lambda m: ClusterSizeChanged(m[2], m[3], m[4], m[5]),
}


def event(message: Message, pages: dict[int, list[Message]]) -> Event:
    """Translate one message; `pages` holds the endpoint lists by number."""
    if message[0] != "TARGETS":
        return _EVENTS[message[0]](message)
    _, _, kind, page, version = message
    if kind == "failed":
        return EndpointListReceived(_LIST_KINDS[kind])
    return EndpointListReceived(_LIST_KINDS[kind], [_endpoint_entry(entry) for entry in pages[page]], version)


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


def rendered(instance: str, action: Action) -> Message:
    """Translate one action to a message."""
    name, values = _ACTIONS[type(action)]
    return [name, instance, *values(action)]
