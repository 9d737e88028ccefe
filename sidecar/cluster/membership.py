"""Cluster membership of one sidecar, without I/O: each event returns the actions to carry out.

The caller supplies the time and the random number generator.

The protocol is SWIM with Lifeguard's refinements.  Each start of a process is an incarnation of its member:
a later incarnation replaces an earlier one, and an incarnation that has ended never becomes present again.
A live member that was declared dead begins a new incarnation.  Updates are merged by
`MembershipUpdate.precedence`, so that the table does not depend on the order in which updates arrive or on
how often each arrives.  docs/membership.md states the guarantees.

Sources: Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002); Dadgar, Phillips, Currey: "Lifeguard: SWIM-ing with Situational Awareness" (2017).
"""

from __future__ import annotations

import random
from collections import Counter

from sidecar.cluster.actions import MembershipAction, ProcessStalled, ScheduleTick
from sidecar.cluster.cluster_size import ClusterSize
from sidecar.cluster.failure_detector import FailureDetector
from sidecar.cluster.local_health import LocalHealth
from sidecar.cluster.local_member import LocalMember, incarnation_at
from sidecar.cluster.member_context import MemberContext
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.message import (
    DropReason,
    InvalidDatagramError,
    MembershipUpdate,
    MemberState,
    Message,
    MessageKind,
    cluster_id,
    decode,
)
from sidecar.cluster.outbox import Outbox
from sidecar.cluster.rate_limiter import RateLimiter
from sidecar.cluster.refutation import Refutation
from sidecar.cluster.settings import MembershipSettings
from sidecar.cluster.update_processing import UpdateProcessor

# A tick that is late by more than this and by more than a protocol period shows that the process stalled.
_STALL_US = 1_000_000


class Membership:
    """The membership protocol of one process, from its start to its end.  All times are microseconds."""

    def __init__(
        self,
        number: int,
        size: int,
        cluster: str,
        settings: MembershipSettings,
        rng: random.Random,
        now: int,
        unix_s: float,
    ) -> None:
        """Create the state of member `number` of a cluster in which `size` members are configured.

        Datagrams of clusters with another name than `cluster` are dropped.  `unix_s` is the wall-clock time
        from which the incarnation is derived.
        """
        self.number = number
        self.dropped: Counter[DropReason] = Counter()
        self.table = MemberTable(size, now)
        self.health = LocalHealth()
        self._cluster = cluster_id(cluster)
        self._local = LocalMember(number, incarnation_at(unix_s))
        self._limiter = RateLimiter(now, settings.datagrams_per_s, settings.datagrams_per_request)
        self._outbox = Outbox(self._cluster, self._local, self.table)
        self._context = MemberContext(
            self._local, settings, self.table, self.health, self._limiter, self._outbox, rng
        )
        self._refutation = Refutation(self._context)
        self._updates = UpdateProcessor(self._context)
        self._failure_detector = FailureDetector(self._context, self._updates, now)
        self._has_left = False
        self._tick_due_at = now

    # Events

    def start(self, now: int) -> list[MembershipAction]:
        """Announce the new incarnation of this member by pinging a few others at once."""
        self._refutation.announce(now)
        self._failure_detector.start(now)
        return self._finish_event(now)

    def datagram_received(self, now: int, sender: int, payload: bytes) -> list[MembershipAction]:
        """Process a datagram that came from the address of member `sender`."""
        if self._has_left:
            return []
        try:
            message = self._decode(sender, payload)
        except InvalidDatagramError as error:
            self.dropped[error.reason] += 1
            return []
        self._check_stall(now)
        self._failure_detector.last_received_at = now
        self._refutation.datagram_accepted(now)
        self._process_updates(now, message)
        self._outbox.digests_differ = message.digest != self.table.digest
        self._dispatch(now, message)
        return self._finish_event(now)

    def tick(self, now: int) -> list[MembershipAction]:
        """Do what is due at `now`; the caller calls this at the time of the last ScheduleTick or later."""
        if self._has_left:
            return []
        self._check_stall(now)
        self._failure_detector.send_expired_nacks(now)
        self._failure_detector.check_pending_ping(now)
        self._updates.declare_expired_dead(now)
        self._refutation.tick(now)
        self._failure_detector.ping_if_due(now)
        return self._finish_event(now)

    def requests_received(self, now: int, requests: int) -> None:
        """Raise the limit on datagrams by the client requests received since the last call."""
        if requests:
            self._limiter.add_requests(now, requests)

    def leave(self, *, has_successor: bool = False) -> list[MembershipAction]:
        """End this incarnation as planned and announce it to all members.

        Nothing is announced if another process continues as this member: the member stays present.
        """
        if self._has_left:
            return []
        if not has_successor and not self.is_duplicate and len(self.table) > 1:
            self._outbox.send(None, MessageKind.LEAVE, 0)
        self._has_left = True
        return self._outbox.drain()

    def configure(self, now: int, size: int, settings: MembershipSettings) -> list[MembershipAction]:
        """Apply new settings and a new cluster size; the records of the remaining members are kept."""
        self._context.settings = settings
        self._limiter.per_s = settings.datagrams_per_s
        self._limiter.per_request = settings.datagrams_per_request
        size = max(size, self.number + 1)
        self.table.resize(size, now)
        self._outbox.table_resized()
        self._updates.discard_from(size)
        self._failure_detector.table_resized()
        return self._finish_event(now)

    def mark_all_disseminated(self) -> None:
        """Empty the dissemination queue, as if all other members had received every update in it.

        For simulated clusters that start in agreement.
        """
        self._outbox.dissemination.discard_from(0)
        self._outbox.digests_differ = False

    # State

    @property
    def incarnation(self) -> int:
        """The incarnation of the local member."""
        return self._local.incarnation

    @property
    def is_duplicate(self) -> bool:
        """Whether another process with the same member number takes precedence over this one."""
        return self._refutation.is_duplicate

    @property
    def period_us(self) -> int:
        """The protocol period, as of the last ping."""
        return self._failure_detector.period_us

    def size(self) -> ClusterSize:
        """The number of members in each state."""
        return self.table.size()

    def silence_us(self, now: int) -> int:
        """The time since the last valid datagram from another member."""
        return now - self._failure_detector.last_received_at

    # Datagrams

    def _decode(self, sender: int, payload: bytes) -> Message:
        if not 0 <= sender < len(self.table) or sender == self.number:
            raise InvalidDatagramError(DropReason.UNKNOWN_SENDER)
        return decode(payload, self._cluster, sender)

    def _process_updates(self, now: int, message: Message) -> None:
        if message.kind is not MessageKind.LEAVE:
            self._apply_from_sender(now, message, MemberState.PRESENT)
        for update in message.updates:
            if update.member >= len(self.table):
                self.dropped[DropReason.UNKNOWN_MEMBER] += 1
            elif update.member == self.number:
                self._refutation.local_update_received(now, update)
            else:
                self._updates.update_received(now, update)

    def _apply_from_sender(self, now: int, message: Message, state: MemberState) -> None:
        """Apply the state that a message implies for its own sender."""
        sender = message.sender
        self._updates.apply(now, MembershipUpdate.create(sender, message.incarnation, state, 0, sender))

    def _dispatch(self, now: int, message: Message) -> None:
        match message.kind:
            case MessageKind.PING:
                self._failure_detector.ping_received(now, message)
            case MessageKind.ACK:
                self._failure_detector.ack_received(now, message)
            case MessageKind.PING_REQUEST:
                if not self._failure_detector.ping_request_received(now, message):
                    self.dropped[DropReason.UNKNOWN_MEMBER] += 1
            case MessageKind.NACK:
                self._failure_detector.nack_received(message)
            case MessageKind.LEAVE:
                self._apply_from_sender(now, message, MemberState.LEFT)

    # Ticks

    def _check_stall(self, now: int) -> None:
        """If this process has not run for a while, lower its local health and restart its timeouts.

        What it missed meanwhile is no evidence against other members.
        """
        late_us = now - self._tick_due_at
        if late_us <= _STALL_US or late_us <= self._context.period_us(now):
            return
        self._outbox.add(ProcessStalled(late_us))
        self.health.process_stalled()
        self._failure_detector.process_stalled()
        self._updates.restart_suspicions(now)

    def _finish_event(self, now: int) -> list[MembershipAction]:
        """Return the collected actions; the last one schedules the next tick."""
        deadlines = self._failure_detector.deadlines + self._updates.suspicion_deadlines
        if self._refutation.next_deadline is not None:
            deadlines.append(self._refutation.next_deadline)
        self._tick_due_at = max(min(deadlines), now)
        self._outbox.add(ScheduleTick(self._tick_due_at))
        return self._outbox.drain()
