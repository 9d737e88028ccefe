"""The configuration's version, for this process: datagrams, timer, log lines and figures.

What is known of the others is `sidecar.cluster.rollout`'s; taking a file over stays what SIGHUP does.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from sidecar.clock import Clock, Timer
from sidecar.cluster.answer import Ambiguous, Answer, Forgotten, Look, Missing, Settled, Step
from sidecar.cluster.exchange import is_exchange
from sidecar.cluster.membership import Membership
from sidecar.cluster.rollout import Rollout
from sidecar.cluster.table import Table
from sidecar.cluster.view import Datagram, Wake
from sidecar.configuration import Configuration
from sidecar.log_events import (
    ConfigurationConflict,
    ConfigurationInForceEverywhere,
    ConfigurationMissing,
    ConfigurationNotEverywhere,
    ConfigurationWithdrawn,
    EventLog,
    InternalError,
    LogEvent,
)
from sidecar.peers import Peers

_LINES_PER_S = 0.1  # whatever others say, the log is filled no faster; ...
_LINES_AT_ONCE = 20.0  # ... after so many at once
_AGAIN_US = 1_000_000  # after a defect, the next tick


class Versions:
    """Compares versions while the configuration has one and the others are kept track of."""

    def __init__(
        self,
        me: int,
        tier: str,
        seed: int,
        clock: Clock,
        peers: Peers,
        log: EventLog,
        look: Callable[[], None],
    ) -> None:
        """`look` reads the file again, and brings back what it holds through `configure`."""
        self._rollout: Rollout | None = None
        self._table: Table | None = None  # membership's, that the rollout goes by
        self._refused = 0  # files with a lower version, since the start
        self._me, self._tier = me, tier
        self._random = random.Random(f"rollout {seed}")
        self._clock, self._peers, self._log, self._look = clock, peers, log, look
        self._timer = Timer(clock, self._tick)
        self._lines, self._lines_at = _LINES_AT_ONCE, clock.now()

    @property
    def version(self) -> int | None:
        """What is in force; None while versions are not compared."""
        return None if self._rollout is None else self._rollout.version

    def refusal(self, config: Configuration) -> str | None:
        """Why a file may not be taken over; one in which this is switched off always may."""
        if self._rollout is None or config.version is None or not config.rollout.on:
            return None
        if self._rollout.permits(config.version):
            return None
        self._refused += 1
        return f"version: {config.version} is older than {self._rollout.version}, which is in force"

    def configure(self, membership: Membership | None, config: Configuration, is_whole: bool = True) -> None:
        """This configuration is in force from now on; not `is_whole`: after a restart only."""
        now, version, settings = self._clock.now(), config.version, config.rollout
        if membership is None or version is None or not settings.on:
            self.close()
        elif self._rollout is None or self._table is not membership.table:
            in_force = (version, config.digest)
            if not is_whole:
                if self._rollout is None:
                    return  # which version is in force here is known after the restart
                in_force = (self._rollout.version, self._rollout.digest)
            own = random.Random(self._random.getrandbits(64))
            self._table = membership.table
            self._rollout = Rollout(self._me, self._tier, self._table, settings, own, now, *in_force)
            self._carry_out(self._rollout.start(now))
        else:
            steps = self._rollout.configure(now, settings)
            if is_whole:
                steps += self._rollout.in_force(now, version, config.digest)
            else:
                steps += self._rollout.waiting(now, version)
            self._carry_out(steps)

    def heard(self, sender: int, payload: bytes) -> bool:
        """Take a datagram from a member; no if it is none about versions, or these are not compared."""
        if self._rollout is None or not is_exchange(payload):
            return False
        self._play(lambda rollout, now: rollout.heard(now, sender, payload))
        return True

    def close(self) -> None:
        """Compare no more, and hold no timer."""
        self._rollout = self._table = None
        self._timer.cancel()

    def figures(self) -> dict[str, object] | None:
        """What operators see of it; None while it is off."""
        rollout = self._rollout
        if rollout is None:
            return None
        now = self._clock.now()
        answer = rollout.answer(now)
        return {
            "version": rollout.version,
            "digest": f"{rollout.digest:08x}",
            "newest_heard": answer.version,
            "newest_heard_from": rollout.heard_from,
            "newest_first_said_by": rollout.tally.by,
            "newest_heard_s_ago": round((now - rollout.heard_at) / 1e6, 1),
            "in_force_everywhere": answer.everywhere,
            "in_force": answer.count,
            "asked": answer.asked,
            "behind": list(answer.behind),
            "behind_count": answer.behind_count,
            "unheard": list(answer.unheard),
            "unheard_count": answer.unheard_count,
            "ambiguous": answer.is_ambiguous,
            "digests": [f"{each:08x}" for each in sorted({answer.low, answer.high})],
            "wave": answer.wave,
            "age_s": round(answer.age_us / 1e6, 1),
            "refused": self._refused,
            "dropped": dict(rollout.dropped),
        }

    def _tick(self) -> None:
        self._play(Rollout.tick)

    def _play(self, event: Callable[[Rollout, int], list[Step]]) -> None:
        """Bring an event to the rollout; live on after a defect in it."""
        rollout, now = self._rollout, self._clock.now()
        if rollout is None:
            return
        try:
            self._carry_out(event(rollout, now))
        except Exception as fault:
            self._log(InternalError("configuration versions", fault))
            if not self._timer.is_set:
                self._timer.schedule(now + _AGAIN_US)

    def _carry_out(self, steps: list[Step]) -> None:
        for each in steps:
            match each:
                case Datagram():
                    self._peers.tell(each.receiver, each.payload)
                case Wake():
                    self._timer.schedule(each.at)
                case Look():
                    self._look()
                case Settled() | Ambiguous() | Missing() | Forgotten():
                    self._say(each)

    def _say(self, what: Settled | Ambiguous | Missing | Forgotten) -> None:
        now = self._clock.now()
        passed_s, self._lines_at = (now - self._lines_at) / 1e6, now
        self._lines = min(self._lines + passed_s * _LINES_PER_S, _LINES_AT_ONCE)
        if self._lines >= 1.0:
            self._lines -= 1.0
            self._log(_log_event(what))


def _log_event(step: Settled | Ambiguous | Missing | Forgotten) -> LogEvent:
    match step:
        case Settled(after_us, answer):
            return _settled(after_us / 1e6, answer)
        case Ambiguous(version, low, high):
            return ConfigurationConflict(version, low, high)
        case Missing(version, by, after_us):
            return ConfigurationMissing(version, by, after_us / 1e6)
        case Forgotten(version, by):
            return ConfigurationWithdrawn(version, by)


def _settled(after_s: float, answer: Answer) -> LogEvent:
    if answer.everywhere:
        return ConfigurationInForceEverywhere(answer.version, after_s, answer.count, answer.asked)
    behind = _members(answer.behind, answer.behind_count)
    unheard = _members(answer.unheard, answer.unheard_count)
    return ConfigurationNotEverywhere(answer.version, after_s, answer.count, answer.asked, behind, unheard)


def _members(members: tuple[int, ...], count: int) -> str:
    """Name members by number; `count` of them, of which not all may be listed."""
    if not count:
        return "none"
    more = f" and {count - len(members)} more" if count > len(members) else ""
    return f"{', '.join(map(str, members))}{more}"
