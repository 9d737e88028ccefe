"""Actions that the balancer returns and the surrounding program carries out.

Times are integers in microseconds.  Actions are slotted dataclasses; do not modify them once created.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class SendAttempt:
    """Send an attempt of a request to an endpoint; a request's attempts are numbered from 0 as sent."""

    request: int
    server: str
    deadline: int  # clock time at which the attempt is abandoned
    send_by: int | None = None  # clock time by which its first byte must be sent; None: `deadline`


@dataclass(slots=True)
class Reject:
    """Send a rejection as the final response; the client can safely retry."""

    request: int
    retry_after_us: int = 0  # 0: send no Retry-After


@dataclass(slots=True)
class Fail:
    """Send a failure as the final response; a server may have executed the request."""

    request: int


@dataclass(slots=True)
class CancelAttempt:
    """Cancel a pending attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Deliver a `TimerFired` event with this token after the delay."""

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
    """Send a message to one balancer of the cluster, or to all of them (receiver None)."""

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
