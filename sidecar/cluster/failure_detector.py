"""SWIM's failure detector: direct pings, indirect pings through relays, and suspicion when both fail."""

from __future__ import annotations

from sidecar.cluster.member_context import MemberContext
from sidecar.cluster.message import NO_TARGET, MembershipUpdate, MemberState, Message, MessageKind
from sidecar.cluster.pings import PendingPings, Ping, RelayedPing
from sidecar.cluster.target_selection import TargetSelector
from sidecar.cluster.update_processing import UpdateProcessor

_DIRECT_TIMEOUT_PERIODS = 0.3  # from a ping to the ping-requests, if the target has not acknowledged it
_PING_TIMEOUT_PERIODS = 0.85  # from a ping to its failure, if neither target nor relays have acknowledged it
_NACK_TIMEOUT_PERIODS = 0.3  # from a relay's ping to its nack; not extended by the relay's local health
_PERIOD_JITTER = 0.2  # width of the range of random factors on the period: 0.9 to 1.1
_STARTUP_PINGS = 3  # sent at once at the start; they announce the new incarnation
_SEQUENCE_NUMBER_COUNT = 1 << 16


class FailureDetector:
    """Pings one member a period.  All times are microseconds."""

    def __init__(self, context: MemberContext, updates: UpdateProcessor, now: int) -> None:
        self._context, self._updates = context, updates
        self._number = context.local.number
        self.pings = PendingPings(context.random.randrange(_SEQUENCE_NUMBER_COUNT))
        self._targets = TargetSelector(self._number, context.table, context.random)
        self.last_received_at = now  # time of the last valid datagram from any other member
        self._next_ping_at = now
        self.period_us = context.period_us(now)  # as of the last ping

    @property
    def deadlines(self) -> list[int]:
        """The times at which the next ping is sent and the next pending ping times out."""
        pending = self.pings.next_deadline
        return [self._next_ping_at] if pending is None else [self._next_ping_at, pending]

    def start(self, now: int) -> None:
        """Ping a few random members at once, to announce this incarnation."""
        others = [number for number in range(len(self._context.table)) if number != self._number]
        for member in self._context.random.sample(others, min(_STARTUP_PINGS, len(others))):
            if self._context.limiter.try_acquire(now):
                self._context.outbox.send(member, MessageKind.PING, self.pings.next_sequence_number())
        self._next_ping_at = now + int(self._context.period_us(now) * self._context.random.random())

    def table_resized(self) -> None:
        """Discard pending pings of removed members, and draw a new order of targets."""
        self.pings.discard_from(len(self._context.table))
        self._targets.reset()

    def process_stalled(self) -> None:
        """Discard all pending pings: the process may have missed their acknowledgements while it stalled."""
        self.pings.discard_from(0)

    # Ticks

    def send_expired_nacks(self, now: int) -> None:
        """Send a nack for each relayed ping whose target has not acknowledged it in time."""
        for relayed in self.pings.take_expired(now):
            self._send_reply(
                now, relayed.origin, MessageKind.NACK, relayed.origin_sequence_number, relayed.target
            )

    def check_pending_ping(self, now: int) -> None:
        """Send ping-requests when the direct ping times out; later, fail the ping."""
        ping = self.pings.local
        if ping is None or ping.next_deadline > now:
            return
        if ping.is_direct:
            ping.is_direct = False
            self._request_relays(now, ping)
        else:
            self.pings.local = None
            self._ping_failed(now, ping)

    def ping_if_due(self, now: int) -> None:
        """Ping the next member once a period, unless a ping is pending or the rate limit is reached."""
        if self._next_ping_at > now:
            return
        period_us = self.period_us = self._context.period_us(now)
        jitter = 1 - _PERIOD_JITTER / 2 + _PERIOD_JITTER * self._context.random.random()
        self._next_ping_at = now + int(period_us * jitter)
        if self.pings.local is not None or not self._context.limiter.try_acquire(now):
            return
        target = self._targets.next()
        if target is None:
            return
        sequence_number = self.pings.next_sequence_number()
        relays_due_at = now + int(_DIRECT_TIMEOUT_PERIODS * period_us)
        fails_at = now + int(_PING_TIMEOUT_PERIODS * period_us)
        self.pings.local = Ping(sequence_number, target, now, relays_due_at, fails_at)
        self._context.outbox.send(target, MessageKind.PING, sequence_number)

    # Messages

    def ping_received(self, now: int, message: Message) -> None:
        """Acknowledge a ping, with the updates that differ from the sender's sketch if the digests differ.

        Usually only some of them fit into a datagram; they are shuffled, so that later acknowledgements carry
        others.
        """
        requested: list[MembershipUpdate] = []
        if self._context.outbox.digests_differ:
            requested = self._context.table.updates_differing_from(
                message.sketch_first, message.sequence_number, message.sketch
            )
            self._context.random.shuffle(requested)
        self._send_reply(now, message.sender, MessageKind.ACK, message.sequence_number, requested=requested)

    def ack_received(self, now: int, message: Message) -> None:
        """Process an acknowledgement: of the local member's ping, or of a ping relayed for another member."""
        ping = self.pings.local
        if ping is not None and ping.sequence_number == message.sequence_number:
            self._local_ping_acknowledged(now, ping, message)
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
            nack_due_at = now + int(_NACK_TIMEOUT_PERIODS * period_us / self._context.health.multiplier)
            relayed = RelayedPing(message.sender, message.sequence_number, target, nack_due_at)
            sequence_number = self.pings.add_relayed(relayed)
            self._context.outbox.send(target, MessageKind.PING, sequence_number)
        return True

    def nack_received(self, message: Message) -> None:
        """Count a relay that is reachable, but got no acknowledgement from the target of the ping."""
        ping = self.pings.local
        if ping is None or ping.sequence_number != message.sequence_number:
            return
        if message.sender in ping.relays:
            ping.nacks += 1

    def _local_ping_acknowledged(self, now: int, ping: Ping, message: Message) -> None:
        is_direct = message.sender == ping.target and message.target == NO_TARGET
        is_relayed = message.sender in ping.relays and message.target == ping.target
        if not is_direct and not is_relayed:
            return
        self.pings.local = None
        self._context.health.ping_acknowledged()
        self._next_ping_at = min(self._next_ping_at, now + self._context.period_us(now))
        if is_direct:
            self._context.table[ping.target].last_ack_at = now

    # Failures

    def _request_relays(self, now: int, ping: Ping) -> None:
        """Ask random members to ping the target of a ping that was not acknowledged directly."""
        if self._context.table[ping.target].has_ended:
            return  # a check whether an ended member is back is not worth further datagrams
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
        """Suspect the target of a failed ping, unless the local member has received nothing at all since.

        Relays that sent no nack lower the local health, because the local member may be the one cut off.
        """
        if self._context.table[ping.target].has_ended:
            return
        health = self._context.health
        has_received_nothing = self.last_received_at < ping.sent_at and len(self._context.table) > 2
        if has_received_nothing and not health.is_worst:
            # The local member is more likely cut off than the target dead.
            health.degrade(2)
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
