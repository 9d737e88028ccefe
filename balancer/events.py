"""Events: everything that the balancer learns from the program around it.

Times are integers in microseconds.  Events are plain slotted dataclasses; treat them as values.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, unique


@unique
class EndpointState(Enum):
    """The state of an endpoint in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@unique
class EndpointListKind(Enum):
    """How the entries of an endpoint list are to be read."""

    CHANGES = "changes"  # changed entries only
    COMPLETE = "complete"  # endpoints without an entry are gone
    CACHED = "remembered"  # complete, but as last known before a restart
    FAILED = "failed"  # a call to discovery failed or the watch broke; nothing changes


@unique
class Outcome(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "expired"
    CONNECT_FAILED = "dial_failed"
    CONNECTION_LOST = "dropped"
    CANCELLED = "cancelled"
    NOT_SENT = "unsent"


@dataclass(slots=True)
class EndpointEntry:
    """An entry of the endpoint list."""

    server: str
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    state: EndpointState = EndpointState.READY
    nominal_capacity: float = 1.0
    started_at: int | None = None  # None: long ago


@dataclass(slots=True)
class EndpointListReceived:
    """An endpoint list was received, or a call for it failed."""

    kind: EndpointListKind
    entries: Sequence[EndpointEntry] = ()
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request; exactly one final response is owed from here on."""

    request: int
    service_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None = None  # a hint of the processing time, where the client gave one
    is_client_retry: bool = False
    is_write: bool = False
    # Whether its body is still arriving and is streamed; `RequestBodyCompleted` then begins its deadline.
    is_body_streaming: bool = False


@dataclass(slots=True)
class RequestBodyCompleted:
    """The last byte of a streamed request body has arrived; its deadline begins now."""

    request: int
    remaining_us: int


@dataclass(slots=True)
class ResponseStarted:
    """The streamed response of an attempt has begun; no other attempt can answer the client any more."""

    request: int
    attempt: int
    server: str
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended."""

    request: int
    attempt: int
    server: str
    outcome: Outcome
    elapsed_us: int
    is_request_answered: bool  # the client has its final response, by this outcome or an earlier one
    load_report: Mapping[str, float] | None = None
    # Whether a part of the streamed request body was sent and not kept, so that it cannot be sent again.
    is_body_consumed: bool = False


@dataclass(slots=True)
class ClientDisconnected:
    """The client disconnected; nothing is owed any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer that was set earlier is due."""

    token: str


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check ended."""

    server: str
    outcome: Outcome
    elapsed_us: int
    load_report: Mapping[str, float] | None = None


@dataclass(slots=True)
class EndpointExcluded:
    """Operators excluded an endpoint: it gets no requests, whatever is listed, until it is included again."""

    server: str


@dataclass(slots=True)
class EndpointIncluded:
    """Operators included an endpoint again."""

    server: str


@dataclass(slots=True)
class ClusterSizeChanged:
    """How many balancers of the cluster are believed to be present, this one included.

    Until the first event of this kind, all are.  `present` includes suspected members and those never heard
    of, `certain` just those that acknowledged; `in_minority` means that no more than half of the members that
    did not announce their leaving are seen.
    """

    configured: int
    present: int
    certain: int
    in_minority: bool = False


@dataclass(slots=True)
class PeerMessageReceived:
    """A message from another balancer of the cluster."""

    sender: int
    payload: bytes


Event = (
    EndpointListReceived
    | RequestArrived
    | RequestBodyCompleted
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | EndpointExcluded
    | EndpointIncluded
    | ClusterSizeChanged
    | PeerMessageReceived
)
