"""SWIM's failure detector: pings, ping-requests through relays, and what a missing acknowledgement means."""

from __future__ import annotations

from sidecar.cluster.member_context import MemberContext
from sidecar.cluster.message import NO_TARGET, MembershipUpdate, MemberState, Message, MessageKind
from sidecar.cluster.pings import PendingPings, Ping, RelayedPing
from sidecar.cluster.target_selection import TargetSelector
from sidecar.cluster.update_processing import UpdateProcessor

# Parts of a protocol period after which ...
_DIRECT_TIMEOUT = 0.3  # ... relays are asked
_PING_TIMEOUT = 0.85  # ... a ping has failed, with its relays
_RELAY_TIMEOUT = 0.3  # ... a relay answers that the target does not
_PERIOD_JITTER = 0.2
_STARTUP_PINGS = 3  # to members that hear of a new incarnation first
_MAX_SEQUENCE_SEED = 1 << 16


class FailureDetector:
    """Pings one member a period.  All times are microseconds."""

    def __init__(self, context: MemberContext, updates: UpdateProcessor, now: int) -> None:
        self._context, self._updates = context, updates
        self._number = context.local.number
        self.pings = PendingPings(context.random.randrange(_MAX_SEQUENCE_SEED))
        self._targets = TargetSelector(self._number, context.table, context.random)
        self.last_received_at = now  # when any other member was heard last
        self._next_ping_at = now
        self.period_us = context.period_us(now)  # as of the last ping

    @property
    def deadlines(self) -> list[int]:
        """Clock times in microseconds at which this is to be called again."""
        pending = self.pings.next_deadline
        return [self._next_ping_at] if pending is None else [self._next_ping_at, pending]

    def start(self, now: int) -> None:
        """Ping a few members at once, which hear so of this incarnation."""
        others = [number for number in range(len(self._context.table)) if number != self._number]
        for member in self._context.random.sample(others, min(_STARTUP_PINGS, len(others))):
            if self._context.limiter.try_acquire(now):
                self._context.outbox.send(member, MessageKind.PING, self.pings.next_sequence_number())
        self._next_ping_at = now + int(self._context.period_us(now) * self._context.random.random())

    def table_resized(self) -> None:
        """Discard the pings of members that are no longer in the table, and draw a new order of targets."""
        self.pings.discard_from(len(self._context.table))
        self._targets.reset()

    def process_stalled(self) -> None:
        """Discard all pending pings: their acknowledgements may have been missed."""
        self.pings.discard_from(0)

    # Time

    def send_expired_nacks(self, now: int) -> None:
        """Tell those that requested a ping that the target does not answer."""
        for relayed in self.pings.take_expired(now):
            self._send_reply(
                now, relayed.origin, MessageKind.NACK, relayed.origin_sequence_number, relayed.target
            )

    def check_pending_ping(self, now: int) -> None:
        """Go on to relays, or suspect the target, where the ping under way has waited long enough."""
        ping = self.pings.own
        if ping is None or ping.next_deadline > now:
            return
        if ping.is_direct:
            ping.is_direct = False
            self._request_relays(now, ping)
        else:
            self.pings.own = None
            self._ping_failed(now, ping)

    def ping_if_due(self, now: int) -> None:
        """Ping the next member, once a period; not while a ping is under way."""
        if self._next_ping_at > now:
            return
        period_us = self.period_us = self._context.period_us(now)
        jitter = 1 - _PERIOD_JITTER / 2 + _PERIOD_JITTER * self._context.random.random()
        self._next_ping_at = now + int(period_us * jitter)
        if self.pings.own is not None or not self._context.limiter.try_acquire(now):
            return
        target = self._targets.next()
        if target is None:
            return
        sequence_number = self.pings.next_sequence_number()
        relays_due_at = now + int(_DIRECT_TIMEOUT * period_us)
        fails_at = now + int(_PING_TIMEOUT * period_us)
        self.pings.own = Ping(sequence_number, target, now, relays_due_at, fails_at)
        self._context.outbox.send(target, MessageKind.PING, sequence_number)

    # Messages

    def ping_received(self, now: int, message: Message) -> None:
        """Acknowledge a ping, with the updates that the sender lacks by its sketch."""
        requested: list[MembershipUpdate] = []
        if self._context.outbox.views_differ:
            requested = self._context.table.updates_differing_from(
                message.sketch_first, message.sequence_number, message.sketch
            )
            self._context.random.shuffle(requested)  # seldom all of them fit
        self._send_reply(now, message.sender, MessageKind.ACK, message.sequence_number, requested=requested)

    def ack_received(self, now: int, message: Message) -> None:
        """An acknowledgement of a ping of one's own, directly or through a relay, or of a relayed one."""
        ping = self.pings.own
        if ping is not None and ping.sequence_number == message.sequence_number:
            self._own_ping_acknowledged(now, ping, message)
            return
        relayed = self.pings.take_acknowledged(message.sequence_number, message.sender)
        if relayed is not None:
            self._send_reply(
                now, relayed.origin, MessageKind.ACK, relayed.origin_sequence_number, relayed.target
            )

    def ping_request_received(self, now: int, message: Message) -> bool:
        """Ping a member on behalf of the sender; return False if there is no such member."""
        target = message.target
        if not 0 <= target < len(self._context.table) or target in (self._number, message.sender):
            return False
        if self._context.limiter.try_acquire(now, is_reply=True):
            period_us = self._context.period_us(now)
            nack_due_at = now + int(_RELAY_TIMEOUT * period_us / self._context.health.multiplier)
            relayed = RelayedPing(message.sender, message.sequence_number, target, nack_due_at)
            sequence_number = self.pings.add_relayed(relayed)
            self._context.outbox.send(target, MessageKind.PING, sequence_number)
        return True

    def nack_received(self, message: Message) -> None:
        """A relay is present, but the target of the ping did not answer it."""
        ping = self.pings.own
        if ping is None or ping.sequence_number != message.sequence_number:
            return
        if message.sender in ping.relays:
            ping.nacks += 1

    def _own_ping_acknowledged(self, now: int, ping: Ping, message: Message) -> None:
        is_direct = message.sender == ping.target and message.target == NO_TARGET
        is_relayed = message.sender in ping.relays and message.target == ping.target
        if not is_direct and not is_relayed:
            return
        self.pings.own = None
        self._context.health.ping_acknowledged()
        self._next_ping_at = min(self._next_ping_at, now + self._context.period_us(now))
        if is_direct:
            self._context.table[ping.target].last_ack_at = now

    # Failures

    def _request_relays(self, now: int, ping: Ping) -> None:
        if self._context.table[ping.target].has_ended:
            return  # it was pinged in case it is back; that is not worth others' datagrams
        relays = [
            number
            for number in self._targets.live_members()
            if number != ping.target and self._can_relay(number)
        ]
        count = min(self._context.settings.relays, len(relays))
        for relay in self._context.random.sample(relays, count):
            if self._context.limiter.try_acquire(now, is_reply=True):
                ping.relays.append(relay)
                self._context.outbox.send(relay, MessageKind.PING_REQUEST, ping.sequence_number, ping.target)

    def _can_relay(self, number: int) -> bool:
        record = self._context.table[number]
        return record.state is MemberState.PRESENT and not record.is_unknown

    def _ping_failed(self, now: int, ping: Ping) -> None:
        if self._context.table[ping.target].has_ended:
            return
        health = self._context.health
        has_received_nothing = self.last_received_at < ping.sent_at and len(self._context.table) > 2
        if has_received_nothing and not health.is_worst:
            health.degrade(2)  # it is rather the local member that is cut off
            return
        missing_nacks = max(len(ping.relays) - ping.nacks, 0 if ping.relays else 1)
        if missing_nacks:
            health.degrade(missing_nacks)
        self._updates.suspect(now, ping.target)

    def _send_reply(
        self,
        now: int,
        receiver: int,
        kind: MessageKind,
        sequence_number: int,
        target: int = NO_TARGET,
        requested: list[MembershipUpdate] | None = None,
    ) -> None:
        if self._context.limiter.try_acquire(now, is_reply=True):
            self._context.outbox.send(receiver, kind, sequence_number, target, requested or ())
