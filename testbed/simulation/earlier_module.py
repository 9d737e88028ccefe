"""Runs the balancer of an earlier commit, in which the packages and message types may have other names.

Messages are translated by position: renames have kept the order of fields and of enumeration members.  An
earlier class may lack the last fields of today's.
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

EARLIER_PACKAGE = "magpiemux"  # the name of the package `balancer` in commits of the earlier layout

# Today's type names and those in commits of the earlier layout; other types have the same name in both.
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
_CURRENT_TYPES = {earlier: current for current, earlier in EARLIER_TYPES.items()}


class EarlierModule:
    """The balancer of an earlier commit, with today's events and actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._interface = importlib.import_module(f"{EARLIER_PACKAGE}.interface")
        module = importlib.import_module(f"{EARLIER_PACKAGE}.balancer")
        self._balancer = module.Balancer(to_earlier(settings, self._interface), seed)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle an event at a time in microseconds; return the actions to execute."""
        earlier_actions = self._balancer.handle(now, to_earlier(event, self._interface))
        return [_to_current_action(action) for action in earlier_actions]

    def endpoint_counts(self) -> EndpointCounts:
        """Count the listed endpoints, and the unavailable ones among them."""
        return EndpointCounts(*self._balancer.members())


def to_earlier(value: Any, interface: ModuleType) -> Any:
    """Translate a message or setting, and recursively its fields, into the classes of the earlier commit."""
    name = EARLIER_TYPES.get(type(value).__name__, type(value).__name__)
    if isinstance(value, Enum):
        return list(getattr(interface, name))[list(type(value)).index(value)]
    if dataclasses.is_dataclass(value):
        earlier_type = getattr(interface, name)
        count = len(dataclasses.fields(earlier_type))
        values = [getattr(value, field.name) for field in dataclasses.fields(value)[:count]]
        return earlier_type(*(to_earlier(item, interface) for item in values))
    if isinstance(value, (list, tuple)):
        return type(value)(to_earlier(item, interface) for item in value)
    return value


def _to_current_action(earlier: Any) -> Action:
    name = type(earlier).__name__
    current_type = getattr(actions, _CURRENT_TYPES.get(name, name))
    values = [getattr(earlier, field.name) for field in dataclasses.fields(earlier)]
    action: Action = current_type(*values)
    return action
