"""What comparing versions of the configuration gives: an answer for operators, what to say and to do."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar.cluster.actions import ScheduleTick, SendDatagram

MOST_NAMED = 16  # members by number in an answer; what is beyond is counted


@dataclass(frozen=True, slots=True)
class Answer:
    """Whether the newest version that was heard of is in force everywhere, by members' own word."""

    version: int
    everywhere: bool | None  # None: not known, as somebody's word is lacking
    count: int  # members that say they have it in force
    asked: int  # members whose word is needed: all but those that left or were found dead
    behind: tuple[int, ...]  # they say they have it not; MOST_NAMED at most
    behind_count: int
    unheard: tuple[int, ...]  # nothing was heard from them in that wave; MOST_NAMED at most
    unheard_count: int
    low: int  # least and greatest digest of the contents that go by this version
    high: int
    wave: int
    age_us: int  # since that wave began: nobody's word is older

    @property
    def is_ambiguous(self) -> bool:
        """Whether two files of other contents go by this version."""
        return self.low < self.high


@dataclass(frozen=True, slots=True)
class Look:
    """Read this sidecar's configuration file again: somebody says that there is a newer version."""


@dataclass(frozen=True, slots=True)
class Settled:
    """Once for each version: in force everywhere, or not after so long; since it was heard of here."""

    after_us: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class Ambiguous:
    """Two files of other contents go by one version."""

    version: int
    low: int
    high: int


@dataclass(frozen=True, slots=True)
class Missing:
    """This sidecar's file has not got the version for so long, and is looked at but seldom from now on."""

    version: int
    by: int
    after_us: int


@dataclass(frozen=True, slots=True)
class Forgotten:
    """A version that nobody has in force any more."""

    version: int
    by: int


Step = SendDatagram | ScheduleTick | Look | Settled | Ambiguous | Missing | Forgotten
