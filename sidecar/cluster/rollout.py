"""Which version of the configuration is in force where, as one sidecar knows it; no I/O.

Members compare versions by rumour mongering (a newer one is pushed at once to a few) and anti-entropy (each
asks one other after a while, and both then hold what either did).  What they hold is the tally of one wave; a
wave begins anew every so often, so who has gone back or has been replaced falls out of it.
docs/rollout.md says what is promised.
"""

from __future__ import annotations

import math
import random
from collections import Counter

from sidecar.cluster.actions import ScheduleTick, SendDatagram
from sidecar.cluster.answer import MOST_NAMED, Ambiguous, Answer, Forgotten, Look, Missing, Settled, Step
from sidecar.cluster.exchange import LAST_WAVE, Kind, read, write
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.message import DropReason, InvalidDatagram, MemberState, cluster_id
from sidecar.cluster.rate_limiter import RateLimiter
from sidecar.cluster.settings import RolloutSettings
from sidecar.cluster.tally import PIECE, Tally, bit, members

_MOST_PER_S = 10.0  # datagrams in all, whatever comes; six seconds' worth may be saved up
_HURRY_US = 250_000  # between two exchanges while a new version spreads
_HURRIES_FOR_US = 10_000_000  # since it was heard of
_QUIET = 4  # exchanges in a row that brought nothing new: then only the beat is kept
_BEAT = 5  # periods between two exchanges where there is nothing new
_TRIES = (
    8  # draws of a partner; each so many-th exchange may also go to one called dead, as a cut may be over
)
_FILLS = 2.0  # rounds that a wave takes to fill, times log2 of the size, by push and pull ...
_FILLS_MORE = 6.0  # ... and the last few
_OLD = 3  # waves after which a tally is nobody's word any more
_LOOK_US = 250_000  # between two looks at the file at first, doubled each time ...
_LOOK_MOST_US = 4_000_000  # ... up to this
_LOOKS_FOR_US = 60_000_000  # then it is said so
_LOOK_SELDOM_US = 60_000_000  # and looked so often


class Rollout:
    """One member's part, from when the mechanism is switched on.  All times are microseconds."""

    def __init__(
        self,
        me: int,
        tier: str,
        table: MemberTable,
        settings: RolloutSettings,
        rng: random.Random,
        now: int,
        version: int,
        digest: int,
    ) -> None:
        """`table` is membership's, read only; `version` is in force, with contents of this digest."""
        self.me = me
        self.version, self.digest = version, digest
        self.heard_from = me  # who told of the newest version first
        self.heard_at = now
        self.dropped: Counter[DropReason] = Counter()  # datagrams that were not taken, by reason
        self._tier = cluster_id(tier)
        self._table, self._settings, self._random = table, settings, rng
        self.tally = self._fresh(version, 1, me, now)
        self._before: Tally | None = None  # of the last wave of this version that had its time
        self._forgotten: tuple[int, int] | None = None
        self._corrected_at: int | None = None  # when a wave was begun because of a false word on oneself
        self._limiter = RateLimiter(now, _MOST_PER_S, 0.0)
        self._quiet = 0  # exchanges in a row that brought nothing new
        self._exchanges = 0
        self._next_ask = now
        self._look_at: int | None = None  # None: this sidecar has the newest version that it heard of
        self._looked_at = now - _LOOK_US
        self._look_wait = _LOOK_US
        self._has_missed = False
        self._settled = -1  # the version that was last said to be in force everywhere, ...
        self._not_settled = -1  # ... or not to be after its time
        self._told_ambiguous = -1
        self._out: list[Step] = []

    # Events

    def start(self, now: int) -> list[Step]:
        """Ask somebody at once: this process may be back with an older file."""
        self._ask(now)
        return self._done(now)

    def heard(self, now: int, sender: int, payload: bytes) -> list[Step]:
        """A datagram came from the address of a member."""
        try:
            if not 0 <= sender < len(self._table) or sender == self.me:
                raise InvalidDatagram(DropReason.UNKNOWN_SENDER)
            given = read(payload, self._tier, sender)
        except InvalidDatagram as invalid:
            self.dropped[invalid.reason] += 1
            return []
        theirs = given.tally(now)
        if now - theirs.began > _OLD * self.wave_us or theirs.key == self._forgotten:
            self.dropped[DropReason.TOO_OLD] += 1
            return self._done(now)
        self._merge(now, sender, theirs)
        if given.kind is Kind.ASK and self._lacks(theirs, given.piece):
            self._send(now, sender, Kind.TELL, given.piece, owed=True)
        return self._done(now)

    def tick(self, now: int) -> list[Step]:
        """The time that the last ScheduleTick named has come, or passed."""
        self._follow_wave(now)
        if self._next_ask <= now:
            self._ask(now)
        return self._done(now)

    def in_force(self, now: int, version: int, digest: int) -> list[Step]:
        """This sidecar's file was taken over; a lower version than that in force changes nothing."""
        if not self.permits(version):
            return []
        self.version, self.digest = version, digest
        if version > self.tally.version:
            self._newer(now, self.me, self._fresh(version, 1, self.me, now))
        elif version == self.tally.version:
            self._take(now, self.tally.marked(self.me, digest))
        if version == self.tally.version:
            self._look_at = None
        return self._done(now)

    def waiting(self, now: int, version: int) -> list[Step]:
        """This sidecar's file has this version, but a part of it waits for a restart: it is not in force."""
        if version > self.tally.version:
            self._newer(now, self.me, Tally(version, 1, self.me, now))
        return self._done(now)

    def configure(self, now: int, settings: RolloutSettings) -> list[Step]:
        """Other settings from now on; who the others are is read from membership's table."""
        self._settings = settings
        self._next_ask = min(self._next_ask, now + self._period_us)
        return self._done(now)

    def permits(self, version: int) -> bool:
        """Whether a file of this version may be taken over: there is no way back but a newer version."""
        return version >= self.version

    # What is known

    @property
    def wave_us(self) -> int:
        """From the beginning of a wave to that of the next: as set, longer where it could not fill."""
        return max(int(self._settings.wave_s * 1e6), 2 * self._fill_us)

    def answer(self, now: int) -> Answer:
        """Whether the newest version heard of is in force everywhere, by the last wave that can say so."""
        size = self._table.size()
        needed, dead = 0, 0
        for number, member in enumerate(self._table.records):
            if not member.has_ended:
                needed |= bit(number)
            elif member.state is MemberState.DEAD:
                dead |= bit(number)
        if size.is_in_minority:
            needed |= dead  # it is rather this copy that is cut off: their word is lacking
        tally, has, behind = self.tally, self.tally.has, self.tally.behind
        low, high = tally.low, tally.high
        if self._before is not None and needed & ~has and now - tally.began < self._fill_us:
            # The present wave has not had its time; what was said in it already goes before.
            tally = self._before
            has |= tally.has & ~behind
            behind |= tally.behind & ~has
            low, high = min(low, tally.low), max(high, tally.high)
        behind &= needed
        unheard = needed & ~has & ~behind
        everywhere = False if behind else None if unheard or size.is_in_minority else True
        return Answer(
            self.tally.version,
            everywhere,
            (has & needed).bit_count(),
            needed.bit_count(),
            tuple(members(behind, MOST_NAMED)),
            behind.bit_count(),
            tuple(members(unheard, MOST_NAMED)),
            unheard.bit_count(),
            low,
            high,
            tally.wave,
            now - tally.began,
        )

    # The tally

    def _fresh(self, version: int, wave: int, by: int, now: int) -> Tally:
        """An empty tally, but for this member's own word."""
        return self._own(Tally(version, wave, by, now))

    def _own(self, tally: Tally) -> Tally:
        return tally.marked(self.me, self.digest) if tally.version == self.version else tally

    def _merge(self, now: int, sender: int, theirs: Tally) -> None:
        if theirs.version > self.tally.version:
            self._newer(now, sender, theirs)
        elif theirs.key >= self.tally.key:
            self._take(now, self._own(self.tally.merged(theirs)))
        if self.tally.version != self.version and self.tally.has & bit(self.me):
            self._correct(now)

    def _newer(self, now: int, sender: int, tally: Tally) -> None:
        """A version that is news: pushed on to a few, and looked for in the file."""
        self.heard_at, self.heard_from = now, sender
        self._before = None
        self._take(now, tally)
        self._next_ask = min(self._next_ask, now + int(_HURRY_US * self._random.random()))
        partners = {self._partner() for _ in range(self._settings.fanout)} - {None, sender}
        for partner in partners:
            self._send(now, partner, Kind.TELL, self.me // PIECE)
        if tally.version != self.version:
            self._has_missed = False
            self._look_wait = _LOOK_US
            spread = int(self._settings.spread_s * 1e6 * self._random.random())
            self._look_at = max(now + spread, self._looked_at + _LOOK_US)

    def _take(self, now: int, tally: Tally) -> None:
        """Hold this tally; if it says anything new, others have to hear of it soon."""
        before, self.tally = self.tally, tally
        if before.is_same(tally):
            return
        if before.version == tally.version and before.wave != tally.wave:
            if now - before.began >= self._fill_us:
                self._before = before
        self._quiet = 0
        self._next_ask = min(self._next_ask, now + self._spread(self._pace(now)))

    def _correct(self, now: int) -> None:
        """The tally says that this member has a version that it has not, as before a restart: begin anew."""
        at = self._corrected_at
        if (at is None or now - at >= self.wave_us) and self.tally.wave < LAST_WAVE:
            self._corrected_at = now
            fresh = self._fresh(self.tally.version, self.tally.wave + 1, self.tally.by, now)
            self._take(now, fresh.marked_behind(self.me))

    def _follow_wave(self, now: int) -> None:
        """Begin the next wave, or forget a version that nobody speaks for."""
        tally, age = self.tally, now - self.tally.began
        if tally.version == self.version and tally.wave < LAST_WAVE:
            if age >= self.wave_us:
                self._take(now, self._fresh(tally.version, tally.wave + 1, tally.by, now))
        elif age >= _OLD * self.wave_us:
            self._forgotten = tally.key
            if tally.version != self.version:
                self._out.append(Forgotten(tally.version, tally.by))
            self._before, self._look_at = None, None
            self.heard_at, self.heard_from = now, self.me
            self._take(now, self._fresh(self.version, 1, self.me, now))

    # Exchanges

    @property
    def _period_us(self) -> int:
        return int(1e6 / self._settings.datagrams_per_s)

    @property
    def _fill_us(self) -> int:
        """How long a wave takes at rest until everybody's word is everywhere."""
        rounds = _FILLS * math.log2(len(self._table) + 1) + _FILLS_MORE
        return int(rounds * self._pieces * self._period_us)

    @property
    def _pieces(self) -> int:
        return (len(self._table) + PIECE - 1) // PIECE

    def _pace(self, now: int) -> int:
        """Until the next exchange."""
        is_quiet = self._quiet >= _QUIET * self._pieces
        if now - self.heard_at < _HURRIES_FOR_US and (self._settled != self.tally.version or not is_quiet):
            return min(_HURRY_US, self._period_us)
        return self._period_us * (_BEAT if is_quiet else 1)

    def _spread(self, span_us: int) -> int:
        return int(span_us * (0.8 + 0.4 * self._random.random()))

    def _partner(self) -> int | None:
        """Anybody of the others; None if none was drawn."""
        size = len(self._table)
        anybody = self._exchanges % _TRIES == 0
        for _ in range(_TRIES if size > 1 else 0):
            member = self._random.randrange(size)
            if member != self.me and (anybody or not self._table[member].has_ended):
                return member
        return None

    def _ask(self, now: int) -> None:
        if self.tally.version != self.version:
            self.tally = self.tally.marked_behind(self.me)
        self._exchanges += 1
        self._send(now, self._partner(), Kind.ASK, self._exchanges % self._pieces)
        self._quiet += 1
        self._next_ask = now + self._spread(self._pace(now))

    def _lacks(self, theirs: Tally, piece: int) -> bool:
        """Whether an asker with this piece lacks anything that is held here."""
        own = self.tally
        if own.key != theirs.key:
            return own.key > theirs.key
        same = (own.by, own.low, own.high) == (theirs.by, theirs.low, theirs.high)
        return not same or own.piece(piece) != theirs.piece(piece)

    def _send(self, now: int, receiver: int | None, kind: Kind, piece: int, owed: bool = False) -> None:
        if receiver is not None and self._limiter.try_acquire(now, owed):
            self._out.append(SendDatagram(receiver, write(self._tier, self.me, kind, self.tally, piece, now)))

    # The file

    def _follow_file(self, now: int) -> list[Step]:
        """Look at the file while it lacks the newest version: soon at first, then ever more seldom."""
        if self._look_at is None or self._look_at > now:
            return []
        since = now - self.heard_at
        if since >= _LOOKS_FOR_US and not self._has_missed:
            self._has_missed = True
            self._out.append(Missing(self.tally.version, self.tally.by, since))
        self._looked_at = now
        self._look_at = now + self._spread(_LOOK_SELDOM_US if self._has_missed else self._look_wait)
        self._look_wait = min(2 * self._look_wait, _LOOK_MOST_US)
        return [Look()]

    # What there is to say

    def _say(self, now: int) -> None:
        tally = self.tally
        if tally.is_ambiguous and self._told_ambiguous != tally.version:
            self._told_ambiguous = tally.version
            self._out.append(Ambiguous(tally.version, tally.low, tally.high))
        if self._settled == tally.version:
            return
        may_be = tally.has.bit_count() >= self._table.size().at_most
        is_late = now - self.heard_at >= self.wave_us and self._not_settled != tally.version
        if not (may_be or is_late):
            return
        answer = self.answer(now)
        if answer.everywhere:
            self._settled = tally.version
        elif is_late:
            self._not_settled = tally.version
        else:
            return
        self._out.append(Settled(now - self.heard_at, answer))

    def _done(self, now: int) -> list[Step]:
        """Give what came of an event, the next time to be woken, and last whether to look at the file."""
        self._say(now)
        is_mine = self.tally.version == self.version and self.tally.wave < LAST_WAVE
        dues = [self._next_ask, self.tally.began + (1 if is_mine else _OLD) * self.wave_us]
        if self.tally.version not in (self._settled, self._not_settled):
            dues.append(self.heard_at + self.wave_us)
        looks = self._follow_file(now)
        if self._look_at is not None:
            dues.append(self._look_at)
        out, self._out = [*self._out, ScheduleTick(max(min(dues), now)), *looks], []
        return out
