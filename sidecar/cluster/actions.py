"""Actions that `Membership` returns: datagrams to send, changes to report, and the time of the next tick."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar.cluster.message import MemberState


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a payload to one member, or to all (None)."""

    receiver: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class ScheduleTick:
    """Call `tick` at this time, in microseconds, instead of the time scheduled before."""

    at: int


@dataclass(frozen=True, slots=True)
class MemberStateChanged:
    """Report that the state or incarnation of a member changed, on an update by member `reported_by`."""

    member: int
    state: MemberState
    incarnation: int
    reported_by: int


@dataclass(frozen=True, slots=True)
class DuplicateMember:
    """Report that another process uses this member's number; both keep running."""

    member: int


@dataclass(frozen=True, slots=True)
class ProcessStalled:
    """Report that this process did not run for a while, and so lowers its local health."""

    duration_us: int


MembershipAction = SendDatagram | ScheduleTick | MemberStateChanged | DuplicateMember | ProcessStalled
