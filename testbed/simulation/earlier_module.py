"""Plays the decisions of an earlier commit, whose packages and message types may have their earlier names.

Messages are translated by position: the renames kept the order of the fields and of the members of
enumerations, and an earlier class may lack the last fields.
"""

from __future__ import annotations

import dataclasses
import importlib
from enum import Enum
from types import ModuleType
from typing import Any

from balancer import Settings, actions
from balancer.actions import Action
from balancer.endpoints import EndpointCounts
from balancer.events import Event

EARLIER_PACKAGE = "magpiemux"  # of the decisions, in commits before the packages were named after their jobs

# Type names today -> in commits of the earlier layout; what is not here has the same name in both.
EARLIER_TYPES = {
    "CancelAttempt": "Cancel",
    "CapacityHint": "Weights",
    "ClientDisconnected": "RequestGone",
    "CloseIdleConnections": "CloseIdle",
    "ClusterSizeChanged": "TierSized",
    "Costs": "Prices",
    "DiscoveryMode": "Discovery",
    "EndpointEntry": "ListedServer",
    "EndpointExcluded": "ServerExcluded",
    "EndpointIncluded": "ServerIncluded",
    "EndpointListKind": "ListKind",
    "EndpointListReceived": "ServersListed",
    "EndpointState": "ServerState",
    "Guarantees": "Rules",
    "HealthCheck": "Probe",
    "HealthCheckEnded": "ProbeEnded",
    "Idempotency": "Repeat",
    "IdempotencyScope": "Group",
    "LoadReportSource": "ReportSource",
    "Objective": "Goal",
    "PeerMessageReceived": "MessageReceived",
    "PollEndpoints": "FetchList",
    "PriorityWeightUnit": "WorthBy",
    "Reject": "Refuse",
    "RequestBodyCompleted": "RequestComplete",
    "ResponseStarted": "AnswerStarted",
    "SendAttempt": "Send",
    "SendPeerMessage": "Tell",
    "WatchEndpoints": "Follow",
}
_TYPES_TODAY = {earlier: today for today, earlier in EARLIER_TYPES.items()}


class EarlierModule:
    """The balancer of an earlier commit behind today's events and actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._interface = importlib.import_module(f"{EARLIER_PACKAGE}.interface")
        decisions = importlib.import_module(f"{EARLIER_PACKAGE}.balancer")
        self._balancer = decisions.Balancer(to_earlier(settings, self._interface), seed)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Pass on one event; give the actions that answer it.  `now` is in microseconds."""
        earlier = self._balancer.handle(now, to_earlier(event, self._interface))
        return [_action_today(action) for action in earlier]

    def endpoint_counts(self) -> EndpointCounts:
        """Count the listed endpoints, and those of them that are avoided."""
        return EndpointCounts(*self._balancer.members())


def to_earlier(value: Any, interface: ModuleType) -> Any:
    """Translate a message or setting, with all that it holds, into the earlier classes."""
    name = EARLIER_TYPES.get(type(value).__name__, type(value).__name__)
    if isinstance(value, Enum):
        return list(getattr(interface, name))[list(type(value)).index(value)]
    if dataclasses.is_dataclass(value):
        earlier = getattr(interface, name)
        count = len(dataclasses.fields(earlier))
        values = [getattr(value, field.name) for field in dataclasses.fields(value)[:count]]
        return earlier(*(to_earlier(item, interface) for item in values))
    if isinstance(value, (list, tuple)):
        return type(value)(to_earlier(item, interface) for item in value)
    return value


def _action_today(earlier: Any) -> Action:
    name = type(earlier).__name__
    today = getattr(actions, _TYPES_TODAY.get(name, name))
    values = [getattr(earlier, field.name) for field in dataclasses.fields(earlier)]
    action: Action = today(*values)
    return action
