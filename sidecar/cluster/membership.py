"""Membership as one sidecar sees it: events in, actions out, no I/O; time and random numbers are handed in.

The protocol is SWIM with Lifeguard's refinements.  Each start of a process is an incarnation of its member:
a later one replaces an earlier one, and one that ended stays ended.  A live member that was declared dead
begins a new incarnation.  Updates are merged by `MembershipUpdate.precedence`, so that any order and any
number of deliveries give the same table.  docs/membership.md states the guarantees.

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

_STALL_US = 1_000_000  # a tick that is late by more than this and by a period was stalled


class Membership:
    """One member's part, from the start of its process to its end.  All times are microseconds."""

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
        """`size` members are configured, `number` among them; datagrams of other clusters are dropped."""
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
        """A new incarnation begins: a few members hear of it at once."""
        self._refutation.announce(now)
        self._failure_detector.start(now)
        return self._finish_event(now)

    def datagram_received(self, now: int, sender: int, payload: bytes) -> list[MembershipAction]:
        """A datagram came from the address of the member `sender`."""
        if self._has_left:
            return []
        try:
            message = self._decode(sender, payload)
        except InvalidDatagramError as invalid:
            self.dropped[invalid.reason] += 1
            return []
        self._check_stall(now)
        self._failure_detector.last_received_at = now
        self._refutation.datagram_accepted(now)
        self._process_updates(now, message)
        self._outbox.views_differ = message.digest != self.table.digest
        self._dispatch(now, message)
        return self._finish_event(now)

    def tick(self, now: int) -> list[MembershipAction]:
        """The time of the last ScheduleTick has come, or passed."""
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
        """The sidecar took this many requests since the last call; they allow further datagrams."""
        if requests:
            self._limiter.add_requests(now, requests)

    def leave(self, *, has_successor: bool = False) -> list[MembershipAction]:
        """This incarnation ends as planned: all hear of it, unless another process continues its number."""
        if self._has_left:
            return []
        if not has_successor and not self.is_duplicate and len(self.table) > 1:
            self._outbox.send(None, MessageKind.LEAVE, 0)
        self._has_left = True
        return self._outbox.drain()

    def configure(self, now: int, size: int, settings: MembershipSettings) -> list[MembershipAction]:
        """Apply other settings or another number of members; what is known of the rest stays."""
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
        """Take all that is known here for known to everybody, as after a long rest."""
        self._outbox.dissemination.discard_from(0)
        self._outbox.views_differ = False

    # What is believed

    @property
    def incarnation(self) -> int:
        """The incarnation of the local member."""
        return self._local.incarnation

    @property
    def is_duplicate(self) -> bool:
        """Whether another process of this number takes precedence over this one."""
        return self._refutation.is_duplicate

    @property
    def period_us(self) -> int:
        """The protocol period, as of the last ping."""
        return self._failure_detector.period_us

    def size(self) -> ClusterSize:
        """The numbers of members by their state."""
        return self.table.size()

    def silence_us(self, now: int) -> int:
        """How long no other member was heard."""
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
        """The sender of a message says itself in which state it is."""
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

    # Time

    def _check_stall(self, now: int) -> None:
        """Notice that this process stood still: it distrusts itself before it distrusts others."""
        late_us = now - self._tick_due_at
        if late_us <= _STALL_US or late_us <= self._context.period_us(now):
            return
        self._outbox.add(ProcessStalled(late_us))
        self.health.process_stalled()
        self._failure_detector.process_stalled()
        self._updates.restart_suspicions(now)

    def _finish_event(self, now: int) -> list[MembershipAction]:
        """Return the event's actions, and when the next tick is due."""
        deadlines = self._failure_detector.deadlines + self._updates.suspicion_deadlines
        if self._refutation.next_deadline is not None:
            deadlines.append(self._refutation.next_deadline)
        self._tick_due_at = max(min(deadlines), now)
        self._outbox.add(ScheduleTick(self._tick_due_at))
        return self._outbox.drain()
