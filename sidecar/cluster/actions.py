"""Actions that membership returns: datagrams to send, changes to report, and when to call it again."""

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
    """Call `tick` at this time, in microseconds; replaces the time scheduled before."""

    at: int


@dataclass(frozen=True, slots=True)
class MemberStateChanged:
    """What is believed of a member has changed, as reported by `reported_by`."""

    member: int
    state: MemberState
    incarnation: int
    reported_by: int


@dataclass(frozen=True, slots=True)
class DuplicateMember:
    """Another process runs under this member's number; both go on."""

    member: int


@dataclass(frozen=True, slots=True)
class ProcessStalled:
    """This process stood still, and trusts its own observations less for a while."""

    duration_us: int


MembershipAction = SendDatagram | ScheduleTick | MemberStateChanged | DuplicateMember | ProcessStalled
