"""Pings that wait for an acknowledgement: one sent for the local member, and those relayed for others."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from sidecar.cluster.message import MAX_SEQUENCE_NUMBER

_MAX_RELAYED = 32  # relayed pings pending at a time; the oldest is discarded


@dataclass(slots=True)
class Ping:
    """A ping sent for the local member: direct at first, then through relays."""

    sequence_number: int
    target: int
    sent_at: int
    relays_due_at: int  # when ping-requests are sent, if the target has not acknowledged the ping
    fails_at: int
    relays: list[int] = field(default_factory=list)
    nacks: int = 0
    is_direct: bool = True

    @property
    def next_deadline(self) -> int:
        """The time in microseconds at which ping-requests are sent or the ping has failed."""
        return self.relays_due_at if self.is_direct else self.fails_at


@dataclass(slots=True)
class RelayedPing:
    """A ping that another member requested."""

    origin: int
    origin_sequence_number: int
    target: int
    nack_due_at: int  # when a nack is sent to the origin, if the target has not acknowledged the ping


class PendingPings:
    """All pings that wait for an acknowledgement."""

    def __init__(self, first_sequence_number: int) -> None:
        self._last_sequence_number = first_sequence_number % (MAX_SEQUENCE_NUMBER + 1)
        self.local: Ping | None = None
        self._relayed: OrderedDict[int, RelayedPing] = OrderedDict()

    @property
    def relayed_count(self) -> int:
        """The number of pending pings that other members requested."""
        return len(self._relayed)

    def next_sequence_number(self) -> int:
        """Return a sequence number that no other pending ping has."""
        self._last_sequence_number = (self._last_sequence_number + 1) % (MAX_SEQUENCE_NUMBER + 1)
        return self._last_sequence_number

    def add_relayed(self, relayed: RelayedPing) -> int:
        """Add a relayed ping; return the sequence number for the ping to its target."""
        while len(self._relayed) >= _MAX_RELAYED:
            self._relayed.popitem(last=False)
        sequence_number = self.next_sequence_number()
        self._relayed[sequence_number] = relayed
        return sequence_number

    def take_acknowledged(self, sequence_number: int, sender: int) -> RelayedPing | None:
        """Remove and return the relayed ping that `sender` acknowledges; None if there is none."""
        relayed = self._relayed.get(sequence_number)
        if relayed is None or relayed.target != sender:
            return None
        return self._relayed.pop(sequence_number)

    def take_expired(self, now: int) -> list[RelayedPing]:
        """Remove and return the relayed pings for which a nack is due."""
        expired = [number for number, relayed in self._relayed.items() if relayed.nack_due_at <= now]
        return [self._relayed.pop(number) for number in expired]

    @property
    def next_deadline(self) -> int | None:
        """The earliest time in microseconds at which a pending ping times out; None without pending pings."""
        deadlines = [relayed.nack_due_at for relayed in self._relayed.values()]
        if self.local is not None:
            deadlines.append(self.local.next_deadline)
        return min(deadlines, default=None)

    def discard_from(self, size: int) -> None:
        """Discard the pings whose target or origin has a number of at least `size`; 0 discards all."""
        if self.local is not None and self.local.target >= size:
            self.local = None
        discarded = [
            number for number, relayed in self._relayed.items() if max(relayed.target, relayed.origin) >= size
        ]
        for number in discarded:
            del self._relayed[number]
