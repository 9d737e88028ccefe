"""Actions: everything that the program around the balancer is to do.

Times are integers in microseconds.  Actions are plain slotted dataclasses; treat them as values.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class SendAttempt:
    """Send a request to an endpoint; its attempts are numbered from 0 in the order they are sent."""

    request: int
    server: str
    deadline: int  # clock time at which the attempt is abandoned
    send_by: int | None = None  # clock time by which its first byte has to be sent; None: `deadline`


@dataclass(slots=True)
class Reject:
    """Final response: rejected; a retry by the client is safe."""

    request: int
    retry_after_us: int = 0  # 0: nothing is said


@dataclass(slots=True)
class Fail:
    """Final response: failed; the request may have been executed."""

    request: int


@dataclass(slots=True)
class CancelAttempt:
    """Abandon an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Deliver a `TimerFired` with this token after the delay."""

    delay_us: int
    token: str


@dataclass(slots=True)
class HealthCheck:
    """Check the health of an endpoint."""

    server: str


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    server: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to one balancer of the cluster, or to all (None)."""

    receiver: int | None
    payload: bytes


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list, or end the subscription."""

    is_enabled: bool = True


@dataclass(slots=True)
class PollEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    SendAttempt
    | Reject
    | Fail
    | CancelAttempt
    | SetTimer
    | HealthCheck
    | CloseIdleConnections
    | SendPeerMessage
    | WatchEndpoints
    | PollEndpoints
    | Log
)
