"""Rollout of configuration versions in this process: settings, timer, log lines and metrics.

The protocol itself is in `sidecar.cluster.rollout`; a newer file is applied in the same way as at SIGHUP.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from sidecar.clock import Clock
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.membership import Membership
from sidecar.cluster.rate_limiter import RateLimiter
from sidecar.cluster.rollout import Rollout
from sidecar.cluster.rollout_actions import (
    AmbiguousVersion,
    ReadConfiguration,
    RolloutAction,
    RolloutConcluded,
    RolloutReport,
    VersionForgotten,
    VersionMissing,
)
from sidecar.cluster.rollout_message import is_rollout_message
from sidecar.cluster.rollout_status import RolloutStatus
from sidecar.configuration import Configuration
from sidecar.log_events import (
    ConfigurationConflict,
    ConfigurationInForceEverywhere,
    ConfigurationMissing,
    ConfigurationNotEverywhere,
    ConfigurationWithdrawn,
    EventLog,
    LogEvent,
)
from sidecar.peers import Peers
from sidecar.protocol_runner import ProtocolRunner

# Limits the log lines about reports, whatever datagrams other members send.
_LOG_LINES_PER_S = 0.1
_LOG_BURST_S = 200.0  # unused lines of this time may be logged at once: 20 lines


class ConfigurationRollout(ProtocolRunner[Rollout, RolloutAction]):
    """Runs the rollout protocol while the configuration has a version and membership is on."""

    _label = "versions"

    def __init__(
        self,
        number: int,
        cluster: str,
        seed: int,
        clock: Clock,
        peers: Peers,
        log: EventLog,
        read_configuration: Callable[[], None],
    ) -> None:
        """Create it switched off; `configure` starts the protocol.

        `read_configuration` reads the configuration file again and passes the result to `configure`.
        """
        super().__init__(clock, peers, log)
        self._table: MemberTable | None = None  # membership's table, which the protocol reads
        self._rejected_files = 0  # files with a lower version than in force, since the start
        self._number, self._cluster = number, cluster
        self._random = random.Random(f"rollout {seed}")
        self._read_configuration = read_configuration
        self._log_limiter = RateLimiter(clock.now(), _LOG_LINES_PER_S, 0.0, capacity_s=_LOG_BURST_S)

    @property
    def version(self) -> int | None:
        """The version in force; None while rollout is off."""
        return None if self.protocol is None else self.protocol.version

    def rejection(self, config: Configuration) -> str | None:
        """Return why a configuration must not be applied, and count it; None if it may be applied.

        A configuration that switches rollout off may always be applied.
        """
        if self.protocol is None or config.version is None or not config.rollout.on:
            return None
        if self.protocol.permits(config.version):
            return None
        self._rejected_files += 1
        return f"version: {config.version} is older than {self.protocol.version}, which is in force"

    def configure(
        self, membership: Membership | None, config: Configuration, *, is_fully_applied: bool = True
    ) -> None:
        """Apply a configuration; unless `is_fully_applied`, a part of it takes effect only at a restart."""
        if membership is None or config.version is None or not config.rollout.on:
            self.close()
        elif self.protocol is None or self._table is not membership.table:
            self._start(membership, config, config.version, is_fully_applied=is_fully_applied)
        else:
            self._reconfigure(self.protocol, config, config.version, is_fully_applied=is_fully_applied)

    def datagram_received(self, sender: int, payload: bytes) -> bool:
        """Process a rollout datagram; return False if it is of another kind, or rollout is off."""
        if self.protocol is None or not is_rollout_message(payload):
            return False
        self._deliver(lambda rollout, now: rollout.datagram_received(now, sender, payload))
        return True

    def close(self) -> None:
        """Stop the protocol and cancel its timer."""
        self.protocol = self._table = None
        self._timer.cancel()

    def metrics(self) -> dict[str, object] | None:
        """Return the metrics of the rollout; None while it is off."""
        rollout = self.protocol
        if rollout is None:
            return None
        now = self._clock.now()
        status = rollout.status(now)
        digests = sorted({status.min_digest, status.max_digest})
        return {
            "version": rollout.version,
            "digest": f"{rollout.digest:08x}",
            "newest_heard": status.version,
            "newest_heard_from": rollout.newest_received_from,
            "newest_first_said_by": rollout.round.first_reported_by,
            "newest_heard_s_ago": round((now - rollout.newest_received_at) / 1e6, 1),
            "in_force_everywhere": status.is_in_force_everywhere,
            "in_force": status.in_force_count,
            "asked": status.required_count,
            "behind": list(status.behind),
            "behind_count": status.behind_count,
            "unheard": list(status.missing),
            "unheard_count": status.missing_count,
            "ambiguous": status.is_ambiguous,
            "digests": [f"{digest:08x}" for digest in digests],
            "wave": status.round_number,
            "age_s": round(status.round_age_us / 1e6, 1),
            "refused": self._rejected_files,
            "dropped": {reason.value: count for reason, count in rollout.dropped.items()},
        }

    def _start(
        self, membership: Membership, config: Configuration, version: int, *, is_fully_applied: bool
    ) -> None:
        digest = config.digest
        if not is_fully_applied:
            if self.protocol is None:
                return  # which version is in force here is known only after the restart
            version, digest = self.protocol.version, self.protocol.digest
        now = self._clock.now()
        rng = random.Random(self._random.getrandbits(64))
        self._table = membership.table
        self.protocol = Rollout(
            self._number, self._cluster, self._table, config.rollout, rng, now, version, digest
        )
        self._execute(self.protocol.start(now))

    def _reconfigure(
        self, rollout: Rollout, config: Configuration, version: int, *, is_fully_applied: bool
    ) -> None:
        now = self._clock.now()
        actions = rollout.configure(now, config.rollout)
        if is_fully_applied:
            actions += rollout.configuration_applied(now, version, config.digest)
        else:
            actions += rollout.configuration_pending(now, version)
        self._execute(actions)

    def _tick(self) -> None:
        self._deliver(Rollout.tick)

    def _handle(self, action: RolloutAction) -> None:
        if isinstance(action, ReadConfiguration):
            self._read_configuration()
            return
        if isinstance(action, RolloutReport) and self._log_limiter.try_acquire(self._clock.now()):
            self._log(log_event(action))


def log_event(report: RolloutReport) -> LogEvent:
    """Return the log event for a report."""
    match report:
        case RolloutConcluded(after_us, status):
            return _conclusion_event(after_us / 1e6, status)
        case AmbiguousVersion(version, min_digest, max_digest):
            return ConfigurationConflict(version, min_digest, max_digest)
        case VersionMissing(version, first_reported_by, after_us):
            return ConfigurationMissing(version, first_reported_by, after_us / 1e6)
        case VersionForgotten(version, first_reported_by):
            return ConfigurationWithdrawn(version, first_reported_by)


def _conclusion_event(after_s: float, status: RolloutStatus) -> LogEvent:
    counts = status.in_force_count, status.required_count
    if status.is_in_force_everywhere:
        return ConfigurationInForceEverywhere(status.version, after_s, *counts)
    behind = _member_list(status.behind, status.behind_count)
    missing = _member_list(status.missing, status.missing_count)
    return ConfigurationNotEverywhere(status.version, after_s, *counts, behind, missing)


def _member_list(members: tuple[int, ...], count: int) -> str:
    if not count:
        return "none"
    further = f" and {count - len(members)} more" if count > len(members) else ""
    return f"{', '.join(map(str, members))}{further}"
