"""Events: all input that the balancer gets from the surrounding program.

Times are integers in microseconds.  Events are slotted dataclasses; do not modify them once created.
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
    """What the entries of an endpoint list stand for."""

    CHANGES = "changes"  # changed entries only
    COMPLETE = "complete"  # all entries; endpoints without an entry are gone
    CACHED = "cached"  # all entries as last known before a restart
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
    """An endpoint list was received, or a call to discovery failed."""

    kind: EndpointListKind
    entries: Sequence[EndpointEntry] = ()
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request arrived; exactly one final response to it has to follow."""

    request: int
    service_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None = None  # expected processing time; None: the client gave no hint
    is_client_retry: bool = False
    is_write: bool = False
    # Whether the body is streamed and still arriving; its deadline then starts with `RequestBodyCompleted`.
    is_body_streaming: bool = False


@dataclass(slots=True)
class RequestBodyCompleted:
    """The last byte of a streamed request body has arrived; the request's deadline starts now."""

    request: int
    remaining_us: int


@dataclass(slots=True)
class RequestBodyOverdue:
    """The time of a request is over, though no server has taken all of its streamed body."""

    request: int


@dataclass(slots=True)
class ResponseStarted:
    """The client is receiving the streamed response of an attempt, so no other attempt can answer it."""

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
    is_request_answered: bool  # whether the client has its final response, by this attempt or before
    load_report: Mapping[str, float] | None = None
    # Whether a part of the streamed request body was sent and is no longer held, which rules out a retry.
    is_body_consumed: bool = False


@dataclass(slots=True)
class ClientDisconnected:
    """The client disconnected; no response is needed any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer that the balancer set has fired."""

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
    """Operators excluded an endpoint: it gets no requests until it is included, whatever the lists say."""

    server: str


@dataclass(slots=True)
class EndpointIncluded:
    """Operators included an endpoint again."""

    server: str


@dataclass(slots=True)
class ClusterSizeChanged:
    """The number of balancers of the cluster that are present changed; the counts include this one.

    Before the first event of this kind, all balancers count as present.  `present` includes suspected and
    unknown members, `certain` only members that acknowledged a ping.  `in_minority` means that at most half
    of the members that did not announce their leaving are reachable.
    """

    configured: int
    present: int
    certain: int
    in_minority: bool = False


@dataclass(slots=True)
class PeerMessageReceived:
    """A message from another balancer of the cluster arrived."""

    sender: int
    payload: bytes


Event = (
    EndpointListReceived
    | RequestArrived
    | RequestBodyCompleted
    | RequestBodyOverdue
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
