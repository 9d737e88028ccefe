"""Membership as one sidecar sees it: events in, actions out, no I/O; time and chance are handed in.

SWIM with Lifeguard's refinements, and lives: each start of a member is a life of its own, later ones go
before earlier ones, and a life that ended stays ended.  Who is called dead and is not begins a new life.
Claims are merged by `Claim.key`, so that any order and any number of tellings give the same table.
docs/membership.md says what is promised.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence

from sidecar.cluster.budget import Budget
from sidecar.cluster.health import Health
from sidecar.cluster.message import (
    LAST_LIFE,
    MOST_ROUND,
    NOBODY,
    Claim,
    Kind,
    Message,
    State,
    Unfit,
    read,
    tier_number,
)
from sidecar.cluster.post import Post
from sidecar.cluster.questions import Question, Questions, Relayed, Targets
from sidecar.cluster.settings import MembershipSettings
from sidecar.cluster.suspicion import Suspicion, least_us
from sidecar.cluster.table import Table
from sidecar.cluster.view import Action, Doubled, News, Size, Slept, Wake

_A_PERIOD = 2.2  # datagrams that a period takes at rest: a question, an answer, and a few for others
_DIRECT = 0.3  # part of a period that a direct question waits
_WHOLE = 0.85  # and a question with its relays
_RELAY = 0.3  # and a relay for its target
_GREETED = 3  # members that a new life greets
_YOUNG_US = 5_000_000  # a process may claim its number from another for so long after it first heard anybody
_YIELDS_US = 60_000_000  # and later leaves it to the other for so long
_LATE_US = 1_000_000  # a tick this late, or late by a period, was slept through
_EPOCH_S = 1_767_225_600  # 2026-01-01: lives are tenths of seconds since then


def life_at(unix_s: float) -> int:
    """The life that begins at this Unix time."""
    return max(1, min(int((unix_s - _EPOCH_S) * 10), LAST_LIFE // 2))


class Membership:
    """One member's part, from the start of its process to its end.  All times are microseconds."""

    def __init__(
        self,
        me: int,
        size: int,
        tier: str,
        settings: MembershipSettings,
        rng: random.Random,
        now: int,
        unix_s: float,
    ) -> None:
        """`size` members are configured, `me` among them; the tier's name keeps others' datagrams out."""
        self.me = me
        self.life = life_at(unix_s)
        self.dropped: Counter[str] = Counter()  # datagrams that were not taken, by reason
        self.table = Table(size, now)
        self.health = Health()
        self._round = 0
        self._tier = tier_number(tier)
        self._settings = settings
        self._random = rng
        self._young_until: int | None = None  # None: it has heard nobody yet
        self._yields_until: int | None = None  # another process of this number goes before this one
        self._is_over = False
        self._post = Post(me, self._tier, self.table)
        self._budget = Budget(now, settings.datagrams_per_s, settings.datagrams_per_request)
        self._questions = Questions(rng.randrange(1 << 16))
        self._suspicions: dict[int, Suspicion] = {}
        self._targets = Targets(me, self.table, rng)
        self._heard_at = now  # when anybody was heard last
        self._next_ask = now
        self.period_us = self._period(now)  # between two questions, as of the last one
        self._wakes_at = now
        self._out: list[Action] = []

    # Events

    def start(self, now: int) -> list[Action]:
        """A new life begins: greet some, and be asked and told from now on."""
        self._announce(now)
        others = [each for each in range(len(self.table)) if each != self.me]
        for member in self._random.sample(others, min(_GREETED, len(others))):
            if self._budget.spend(now, 1):
                self._send(member, Kind.ASK, self._questions.number())
        self._next_ask = now + int(self._period(now) * self._random.random())
        return self._done(now)

    def heard(self, now: int, sender: int, payload: bytes) -> list[Action]:
        """A datagram came from the address of a member."""
        if self._is_over:
            return []
        try:
            if not 0 <= sender < len(self.table) or sender == self.me:
                raise Unfit("a stranger")
            message = read(payload, self._tier, sender)
        except Unfit as reason:
            self.dropped[str(reason)] += 1
            return []
        self._notice_sleep(now)
        self._heard_at = now
        if self._young_until is None:
            self._young_until = now + _YOUNG_US
        self._hear_life(now, message)
        for claim in message.claims:
            self._hear(now, claim)
        self._post.differs = message.digest != self.table.digest
        match message.kind:
            case Kind.ASK:
                wanted = self._wanted(message) if self._post.differs else []
                self._answer(now, sender, message.question, NOBODY, wanted)
            case Kind.HERE:
                self._here(now, message)
            case Kind.ASK_FOR:
                self._ask_for(now, message)
            case Kind.SILENT:
                own = self._questions.own
                if own is not None and own.number == message.question and sender in own.relays:
                    own.spoke += 1
            case Kind.LEAVING:
                self._take(now, Claim.of(sender, message.life, State.LEFT, 0, sender))
        return self._done(now)

    def tick(self, now: int) -> list[Action]:
        """The time that the last Wake named has come, or passed."""
        if self._is_over:
            return []
        self._notice_sleep(now)
        for relayed in self._questions.silent(now):
            if self._budget.spend(now, 1, owed=True):
                self._send(relayed.origin, Kind.SILENT, relayed.origin_number, relayed.target)
        self._follow_question(now)
        for number, suspicion in list(self._suspicions.items()):
            if suspicion.due <= now:
                self._call_dead(now, number)
        if self._yields_until is not None and self._yields_until <= now:
            self._begin_life(now, self.table[self.me].claim.life + 1)
        if self._next_ask <= now:
            self._ask(now)
        return self._done(now)

    def worked(self, now: int, requests: int) -> None:
        """So many requests were taken since the last call."""
        if requests:
            self._budget.worked(now, requests)

    def leave(self, now: int, has_successor: bool = False) -> list[Action]:
        """This life ends as planned: all are told at once, unless another goes on under its number."""
        if self._is_over:
            return []
        if not has_successor and not self.is_doubled and len(self.table) > 1:
            self._send(None, Kind.LEAVING, 0)
        self._is_over = True
        out, self._out = self._out, []
        return out

    def configure(self, now: int, size: int, settings: MembershipSettings) -> list[Action]:
        """Other settings, or another number of members, from now on; what is known of the rest stays."""
        self._settings = settings
        self._budget.per_s, self._budget.per_request = (
            settings.datagrams_per_s,
            settings.datagrams_per_request,
        )
        size = max(size, self.me + 1)
        self.table.resize(size, now)
        self._post.resize()
        self._questions.forget(size)
        self._suspicions = {each: one for each, one in self._suspicions.items() if each < size}
        self._targets.forget()
        return self._done(now)

    def settle(self) -> None:
        """Nothing known here is news to anybody: as after a long rest."""
        self._post.gossip.drop(0)
        self._post.differs = False

    # What is believed

    def size(self) -> Size:
        return self.table.size()

    @property
    def is_doubled(self) -> bool:
        """Whether another process goes before this one under its number."""
        return self._yields_until is not None

    def silent_for(self, now: int) -> int:
        """How long nobody was heard."""
        return now - self._heard_at

    # Claims

    def _hear_life(self, now: int, message: Message) -> None:
        """Whoever speaks lives; a life that was called dead has to be told, and begins anew."""
        if message.kind is not Kind.LEAVING:
            self._take(now, Claim.of(message.sender, message.life, State.PRESENT, 0, message.sender))

    def _hear(self, now: int, claim: Claim) -> None:
        if claim.member >= len(self.table):
            self.dropped["unknown member"] += 1
        elif claim.member == self.me:
            self._hear_of_oneself(now, claim)
        elif claim.state is State.DEAD and self._has_seen(now, claim):
            self._doubt_rumour(now, claim)
        else:
            self._take(now, claim)

    def _has_seen(self, now: int, claim: Claim) -> bool:
        """Whether that life answered a question of one's own of late, so that its death is hearsay."""
        member = self.table[claim.member]
        if member.claim.life != claim.life or member.has_ended or member.heard_at is None:
            return False
        return now - member.heard_at < self._least_suspicion(now)

    def _doubt_rumour(self, now: int, claim: Claim) -> None:
        """Own sight goes before hearsay: it is suspected, has to hear of it, and may begin a new life."""
        member = self.table[claim.member]
        member.rumour = claim
        if member.state is State.PRESENT:
            self._take(now, Claim.of(claim.member, claim.life, State.SUSPECTED, member.claim.round, claim.by))

    def _take(self, now: int, claim: Claim) -> None:
        """Believe a claim of another member, and pass it on, if it is news."""
        if claim.member == self.me:
            return
        member = self.table[claim.member]
        before, life = member.state, member.claim.life
        if not self.table.take(claim, now):
            suspicion = self._suspicions.get(claim.member)
            same = claim.state is State.SUSPECTED and claim.key == member.claim.key
            if same and suspicion is not None and suspicion.confirm(claim.by):
                self._post.gossip.put(claim)
            return
        self._post.gossip.put(claim)
        if claim.state is State.SUSPECTED:
            if claim.member not in self._suspicions:
                self._suspicions[claim.member] = Suspicion(
                    now,
                    claim.by,
                    self._least_suspicion(now),
                    self._settings.suspicion_stretch,
                    len(self.table),
                )
        else:
            self._suspicions.pop(claim.member, None)
        if before is not claim.state or life != claim.life:
            self._out.append(News(claim.member, claim.state, claim.life, claim.by))

    def _hear_of_oneself(self, now: int, claim: Claim) -> None:
        if claim.life < self.life:
            return
        if claim.life == self.life:
            if claim.state >= State.DEAD or claim.round >= MOST_ROUND:
                self._begin_life(now, self.life + 1)
            elif claim.state is State.SUSPECTED and claim.round >= self._round:
                self._round = claim.round + 1
                self.health.doubt()
                self._announce(now)
        elif claim.state >= State.DEAD or self._young_until is None or now < self._young_until:
            # An earlier process of this number, whose clock was ahead, or one that has ended.
            self._begin_life(now, claim.life + 1)
        elif claim.key > self.table[self.me].claim.key:
            if not self.is_doubled:
                self._out.append(Doubled(self.me))
            self._yields_until = now + _YIELDS_US
            self.table.take(claim, now)
            self._post.gossip.put(claim)

    def _begin_life(self, now: int, life: int) -> None:
        """Go on as a new life: of the old one others believe, or may believe, that it ended."""
        self.life, self._round = min(life, LAST_LIFE), 0
        self._yields_until = None
        self._announce(now)

    def _announce(self, now: int) -> None:
        if self.is_doubled:
            return
        own = Claim.of(self.me, self.life, State.PRESENT, self._round, self.me)
        self.table.take(own, now)
        self._post.gossip.put(own)

    # Questions

    def _period(self, now: int) -> int:
        """Between two questions: what the budget bears, longer where this copy is not well."""
        by_budget = int(_A_PERIOD / self._budget.rate(now) * 1e6)
        return max(by_budget, self._settings.least_period_ms * 1_000) * self.health.stretch

    def _least_suspicion(self, now: int) -> int:
        return least_us(len(self.table), self._period(now), self._settings.suspicion_periods)

    def _ask(self, now: int) -> None:
        """Ask the next member, in place of a question that has not ended."""
        period = self.period_us = self._period(now)
        self._next_ask = now + int(period * (0.9 + 0.2 * self._random.random()))
        if self._questions.own is not None or not self._budget.spend(now, 1):
            return
        target = self._targets.next()
        if target is None:
            return
        number = self._questions.number()
        self._questions.own = Question(
            number, target, now, now + int(_DIRECT * period), now + int(_WHOLE * period)
        )
        self._send(target, Kind.ASK, number)

    def _follow_question(self, now: int) -> None:
        own = self._questions.own
        if own is None or own.next_at > now:
            return
        if own.is_direct:
            own.is_direct = False
            self._ask_relays(now, own)
            return
        self._questions.own = None
        member = self.table[own.target]
        if member.has_ended:
            return
        if self._heard_at < own.asked_at and len(self.table) > 2 and not self.health.is_worst:
            self.health.doubt(2)  # nobody was heard meanwhile: it is rather oneself that is cut off
            return
        silent = max(len(own.relays) - own.spoke, 0 if own.relays else 1)
        if silent:
            self.health.doubt(silent)
        self._take(now, Claim.of(own.target, member.claim.life, State.SUSPECTED, member.claim.round, self.me))

    def _ask_relays(self, now: int, own: Question) -> None:
        if self.table[own.target].has_ended:
            return  # it was asked in case it is back; nobody has to help
        others = [each for each in self._targets.others() if each != own.target and self._can_relay(each)]
        for relay in self._random.sample(others, min(self._settings.relays, len(others))):
            if self._budget.spend(now, 1, owed=True):
                own.relays.append(relay)
                self._send(relay, Kind.ASK_FOR, own.number, own.target)

    def _can_relay(self, number: int) -> bool:
        member = self.table[number]
        return member.state is State.PRESENT and not member.is_unknown

    def _ask_for(self, now: int, message: Message) -> None:
        target = message.target
        if not 0 <= target < len(self.table) or target in (self.me, message.sender):
            self.dropped["unknown member"] += 1
        elif self._budget.spend(now, 1, owed=True):
            wait = int(_RELAY * self._period(now) / self.health.stretch)
            relayed = Relayed(message.sender, message.question, target, now + wait)
            self._send(target, Kind.ASK, self._questions.relay(relayed))

    def _wanted(self, message: Message) -> list[Claim]:
        """What the asker lacks, by its sketch; in an order of chance, as seldom all of it fits."""
        claims = self.table.differing(message.sketch_from, message.question, message.sketch)
        self._random.shuffle(claims)
        return claims

    def _answer(
        self, now: int, receiver: int, question: int, target: int, wanted: Sequence[Claim] = ()
    ) -> None:
        if self._budget.spend(now, 1, owed=True):
            self._send(receiver, Kind.HERE, question, target, wanted)

    def _here(self, now: int, message: Message) -> None:
        """An answer: to a question of one's own, directly or through a relay, or to one asked for another."""
        own = self._questions.own
        if own is not None and own.number == message.question:
            direct = message.sender == own.target and message.target == NOBODY
            if direct or (message.sender in own.relays and message.target == own.target):
                self._questions.own = None
                self.health.well()
                self._next_ask = min(self._next_ask, now + self._period(now))
                if direct:
                    self.table[own.target].heard_at = now
                return
        relayed = self._questions.answered(message.question, message.sender)
        if relayed is not None:
            self._answer(now, relayed.origin, relayed.origin_number, relayed.target)

    def _call_dead(self, now: int, number: int) -> None:
        del self._suspicions[number]
        member = self.table[number]
        if member.state is not State.SUSPECTED:
            return
        claim = member.rumour
        if claim is None or claim.key <= member.claim.key:
            claim = Claim.of(number, member.claim.life, State.DEAD, member.claim.round, self.me)
        self._take(now, claim)

    def _notice_sleep(self, now: int) -> None:
        """Whether this process stood still: then it suspects itself before anybody else."""
        late = now - self._wakes_at
        if late <= _LATE_US or late <= self._period(now):
            return
        self._out.append(Slept(late))
        self.health.slept()
        self._questions.forget()
        for suspicion in self._suspicions.values():
            suspicion.begin_again(now)

    # Datagrams

    def _send(
        self,
        receiver: int | None,
        kind: Kind,
        question: int,
        target: int = NOBODY,
        wanted: Sequence[Claim] = (),
    ) -> None:
        self._out.append(self._post.write(self.life, receiver, kind, question, target, wanted))

    def _done(self, now: int) -> list[Action]:
        """Give what came of an event, and the next time to be woken."""
        dues = [self._next_ask, *(each.due for each in self._suspicions.values())]
        at = self._questions.next_at
        if at is not None:
            dues.append(at)
        if self._yields_until is not None:
            dues.append(self._yields_until)
        self._wakes_at = max(min(dues), now)
        self._out.append(Wake(self._wakes_at))
        out, self._out = self._out, []
        return out
