"""Events: everything that the balancer is told.

Times are whole microseconds.  Events are plain slotted dataclasses; treat them as values.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, unique


@unique
class EndpointState(Enum):
    """What the server list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@unique
class EndpointListKind(Enum):
    """How a server list is to be read."""

    CHANGES = "changes"  # changed entries only
    COMPLETE = "complete"  # who is missing is gone
    CACHED = "remembered"  # complete, but as last held before a restart
    FAILED = "failed"  # a call failed or the subscription broke; nothing changes


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
    """A line of the server list."""

    server: str
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    state: EndpointState = EndpointState.READY
    nominal_capacity: float = 1.0
    started_at: int | None = None  # None: long ago


@dataclass(slots=True)
class EndpointListReceived:
    """The server list was heard, or a call for it failed."""

    kind: EndpointListKind
    entries: Sequence[EndpointEntry] = ()
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request; one final answer is owed from here on."""

    request: int
    service_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None = None  # a hint of the work, where the client gave one
    is_client_retry: bool = False
    is_write: bool = False
    is_body_streaming: bool = (
        False  # its body is still coming, and passes through: RequestBodyCompleted begins its time
    )


@dataclass(slots=True)
class RequestBodyCompleted:
    """The last byte of a request that was arriving is here; its time runs from now."""

    request: int
    remaining_us: int


@dataclass(slots=True)
class ResponseStarted:
    """The streamed answer of an attempt has begun; the attempt now belongs to the client."""

    request: int
    attempt: int
    server: str
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended.  `answered`: the client has its final answer, by this outcome or an earlier one."""

    request: int
    attempt: int
    server: str
    outcome: Outcome
    elapsed_us: int
    is_request_answered: bool
    load_report: Mapping[str, float] | None = None
    is_body_consumed: bool = (
        False  # of the request's body some was sent on and not kept: it can't be sent again
    )


@dataclass(slots=True)
class ClientDisconnected:
    """The client went away; nothing is owed any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier is due."""

    token: str


@dataclass(slots=True)
class HealthCheckEnded:
    """A probe came back."""

    server: str
    outcome: Outcome
    elapsed_us: int
    load_report: Mapping[str, float] | None = None


@dataclass(slots=True)
class EndpointExcluded:
    """The operators want nothing more sent to a server, whatever is listed, until they include it again."""

    server: str


@dataclass(slots=True)
class EndpointIncluded:
    """The operators want a server used again."""

    server: str


@dataclass(slots=True)
class ClusterSizeChanged:
    """How many balancers of the tier are believed to be there, this one included; never sent: as configured.

    `present` counts those that may be there (suspected and never heard of as well), `certain` just those
    that answered; `in_minority`: no more than half of those that did not leave by their own word are seen.
    """

    configured: int
    present: int
    certain: int
    in_minority: bool = False


@dataclass(slots=True)
class PeerMessageReceived:
    """A message from another balancer of the tier."""

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
