"""What membership gives: datagrams to send, news, the next time to be woken, and the size of the tier."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar.cluster.message import State


@dataclass(frozen=True, slots=True)
class Datagram:
    """Send this to one member, or to all (None)."""

    receiver: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class News:
    """What is believed of a member has changed, by the sight or word of `by`."""

    member: int
    state: State
    life: int
    by: int


@dataclass(frozen=True, slots=True)
class Doubled:
    """Another process claims this member's number; both go on."""

    member: int


@dataclass(frozen=True, slots=True)
class Slept:
    """This process stood still for so long, in microseconds, and trusts its own sight less for a while."""

    late_us: int


@dataclass(frozen=True, slots=True)
class Wake:
    """Tick at this time; it goes before earlier ones."""

    at: int


Action = Datagram | News | Doubled | Slept | Wake


@dataclass(frozen=True, slots=True)
class Size:
    """How many members there are, this one included, as it is believed here."""

    configured: int
    present: int
    suspected: int
    unknown: int  # never heard of; taken for present until it is found out
    dead: int
    left: int

    @property
    def low(self) -> int:
        return self.present

    @property
    def high(self) -> int:
        return self.present + self.suspected + self.unknown

    @property
    def in_minority(self) -> bool:
        """Whether this copy sees no more than half of those that have not left by their own word."""
        lost = self.suspected + self.dead
        return lost > 0 and 2 * (self.present + self.unknown) <= self.configured - self.left
