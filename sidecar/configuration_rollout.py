"""The configuration's version, for this process: datagrams, timer, log lines and figures.

What is known of the others is `sidecar.cluster.rollout`'s; taking a file over stays what SIGHUP does.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from sidecar.clock import Alarm, Clock
from sidecar.cluster.actions import ScheduleTick, SendDatagram
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.membership import Membership
from sidecar.cluster.rollout import Rollout
from sidecar.cluster.rollout_actions import (
    AmbiguousVersion,
    ReadConfiguration,
    RolloutAction,
    RolloutConcluded,
    VersionForgotten,
    VersionMissing,
)
from sidecar.cluster.rollout_message import is_rollout_message
from sidecar.cluster.rollout_status import RolloutStatus
from sidecar.config import Config
from sidecar.peers import Peers

_LINES_PER_S = 0.1  # whatever others say, the log is filled no faster; ...
_LINES_AT_ONCE = 20.0  # ... after so many at once
_AGAIN_US = 1_000_000  # after a defect, the next tick


class ConfigurationRollout:
    """Compares versions while the configuration has one and the others are kept track of."""

    def __init__(
        self,
        me: int,
        tier: str,
        seed: int,
        clock: Clock,
        peers: Peers,
        log: Callable[[str], None],
        look: Callable[[], None],
    ) -> None:
        """`look` reads the file again, and brings back what it holds through `configure`."""
        self._rollout: Rollout | None = None
        self._table: MemberTable | None = None  # membership's, that the rollout goes by
        self._refused = 0  # files with a lower version, since the start
        self._me, self._tier = me, tier
        self._random = random.Random(f"rollout {seed}")
        self._clock, self._peers, self._log, self._look = clock, peers, log, look
        self._alarm = Alarm(clock, self._tick)
        self._lines, self._lines_at = _LINES_AT_ONCE, clock.now()

    @property
    def version(self) -> int | None:
        """What is in force; None while versions are not compared."""
        return None if self._rollout is None else self._rollout.version

    def rejection(self, config: Config) -> str | None:
        """Why a file may not be taken over; one in which this is switched off always may."""
        if self._rollout is None or config.version is None or not config.rollout.on:
            return None
        if self._rollout.permits(config.version):
            return None
        self._refused += 1
        return f"version: {config.version} is older than {self._rollout.version}, which is in force"

    def configure(self, membership: Membership | None, config: Config, is_whole: bool = True) -> None:
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
                steps += self._rollout.configuration_applied(now, version, config.digest)
            else:
                steps += self._rollout.configuration_pending(now, version)
            self._carry_out(steps)

    def datagram_received(self, sender: int, payload: bytes) -> bool:
        """Take a datagram from a member; no if it is none about versions, or these are not compared."""
        if self._rollout is None or not is_rollout_message(payload):
            return False
        self._play(lambda rollout, now: rollout.datagram_received(now, sender, payload))
        return True

    def close(self) -> None:
        """Compare no more, and hold no timer."""
        self._rollout = self._table = None
        self._alarm.cancel()

    def figures(self) -> dict[str, object] | None:
        """What operators see of it; None while it is off."""
        rollout = self._rollout
        if rollout is None:
            return None
        now = self._clock.now()
        answer = rollout.status(now)
        return {
            "version": rollout.version,
            "digest": f"{rollout.digest:08x}",
            "newest_heard": answer.version,
            "newest_heard_from": rollout.newest_heard_from,
            "newest_first_said_by": rollout.round.first_reported_by,
            "newest_heard_s_ago": round((now - rollout.newest_heard_at) / 1e6, 1),
            "in_force_everywhere": answer.is_in_force_everywhere,
            "in_force": answer.in_force_count,
            "asked": answer.required_count,
            "behind": list(answer.behind),
            "behind_count": answer.behind_count,
            "unheard": list(answer.missing),
            "unheard_count": answer.missing_count,
            "ambiguous": answer.is_ambiguous,
            "digests": [f"{each:08x}" for each in sorted({answer.min_digest, answer.max_digest})],
            "wave": answer.round_number,
            "age_s": round(answer.round_age_us / 1e6, 1),
            "refused": self._refused,
            "dropped": {reason.value: count for reason, count in rollout.dropped.items()},
        }

    def _tick(self) -> None:
        self._play(Rollout.tick)

    def _play(self, event: Callable[[Rollout, int], list[RolloutAction]]) -> None:
        """Bring an event to the rollout; live on after a defect in it."""
        rollout, now = self._rollout, self._clock.now()
        if rollout is None:
            return
        try:
            self._carry_out(event(rollout, now))
        except Exception as fault:
            self._log(f"internal error: {fault!r} (versions)")
            if not self._alarm.is_set:
                self._alarm.at(now + _AGAIN_US)

    def _carry_out(self, steps: list[RolloutAction]) -> None:
        for each in steps:
            match each:
                case SendDatagram():
                    self._peers.send(each.receiver, each.payload)
                case ScheduleTick():
                    self._alarm.at(each.at)
                case ReadConfiguration():
                    self._look()
                case RolloutConcluded() | AmbiguousVersion() | VersionMissing() | VersionForgotten():
                    self._say(each)

    def _say(self, what: RolloutConcluded | AmbiguousVersion | VersionMissing | VersionForgotten) -> None:
        now = self._clock.now()
        passed_s, self._lines_at = (now - self._lines_at) / 1e6, now
        self._lines = min(self._lines + passed_s * _LINES_PER_S, _LINES_AT_ONCE)
        if self._lines >= 1.0:
            self._lines -= 1.0
            self._log(_worded(what))


def _worded(what: RolloutConcluded | AmbiguousVersion | VersionMissing | VersionForgotten) -> str:
    match what:
        case RolloutConcluded(after_us, answer):
            return _settled(after_us / 1e6, answer)
        case AmbiguousVersion(version, low, high):
            return f"configuration: two contents go by version {version}: digests {low:08x} and {high:08x}"
        case VersionMissing(version, by, after_us):
            told = f"configuration: version {version}, first said by {by}, is not in the file of this sidecar"
            return f"{told} after {after_us / 1e6:.0f} s: it looks once a minute from now on"
        case VersionForgotten(version, by):
            return f"configuration: version {version}, first said by {by}, is in force nowhere any more"


def _settled(after_s: float, answer: RolloutStatus) -> str:
    version, counted = (
        f"configuration: version {answer.version}",
        f"{answer.in_force_count} of {answer.required_count}",
    )
    if answer.is_in_force_everywhere:
        return f"{version} in force here; everywhere after {after_s:.1f} s ({counted})"
    behind = _named("behind", answer.behind, answer.behind_count)
    unheard = _named("unheard", answer.missing, answer.missing_count)
    return f"{version} not known to be everywhere after {after_s:.1f} s ({counted}){behind}{unheard}"


def _named(what: str, members: tuple[int, ...], count: int) -> str:
    if not count:
        return ""
    more = f" and {count - len(members)} more" if count > len(members) else ""
    return f"; {what}: {', '.join(map(str, members))}{more}"
