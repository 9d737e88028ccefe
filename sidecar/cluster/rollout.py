"""Rollout of configuration versions as one sidecar sees it, without I/O: events return actions.

In aggregation rounds, members collect reports of which members have the newest version in force.  A new round
starts with no reports at regular intervals, so that a member that went back to an older version, or was
replaced, no longer counts.  docs/rollout.md states the guarantees.
"""

from __future__ import annotations

import random
from collections import Counter

from sidecar.cluster.actions import ScheduleTick
from sidecar.cluster.aggregation import AggregationRound
from sidecar.cluster.configuration_file_checks import ConfigurationFileChecks
from sidecar.cluster.member_set import member_bit
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.message import DropReason, InvalidDatagramError, cluster_id
from sidecar.cluster.rollout_actions import ReadConfiguration, RolloutAction, VersionForgotten, VersionMissing
from sidecar.cluster.rollout_exchanges import RolloutExchanges
from sidecar.cluster.rollout_message import MAX_ROUND_NUMBER, ExchangeKind, RolloutMessage, decode
from sidecar.cluster.rollout_reports import RolloutReports
from sidecar.cluster.rollout_state import RolloutState
from sidecar.cluster.rollout_status import RolloutStatus, rollout_status
from sidecar.cluster.settings import RolloutSettings

_FIRST_ROUND = 1
_MAX_ROUND_AGE_INTERVALS = 3  # a round that started more intervals ago is obsolete


class Rollout:
    """The rollout protocol of one member, from when it is switched on.  All times are microseconds."""

    def __init__(
        self,
        number: int,
        cluster: str,
        table: MemberTable,
        settings: RolloutSettings,
        rng: random.Random,
        now: int,
        version: int,
        digest: int,
    ) -> None:
        """Create the state of member `number`, which has `version` in force, with contents of `digest`.

        `table` belongs to membership and is only read here.
        """
        self.dropped: Counter[DropReason] = Counter()
        self._cluster = cluster_id(cluster)
        first_round = AggregationRound(version, _FIRST_ROUND, number, now).with_in_force(number, digest)
        self._state = RolloutState(
            number, table, settings, rng, version, digest, now, newest_received_from=number, round=first_round
        )
        self._exchanges = RolloutExchanges(self._state, self._cluster, now)
        self._file_checks = ConfigurationFileChecks(self._state, now)
        self._reports = RolloutReports(self._state)
        self._forgotten_version: VersionForgotten | None = None  # to be reported with the next actions
        self._forgotten_round: tuple[int, int] | None = None  # key of the round whose datagrams are dropped
        self._corrected_at: int | None = None  # when a round was last started to correct a wrong report

    # Events

    def start(self, now: int) -> list[RolloutAction]:
        """Exchange rounds with a member at once: this process may have started with an older file."""
        self._begin_exchange(now)
        return self._finish_event(now)

    def datagram_received(self, now: int, sender: int, payload: bytes) -> list[RolloutAction]:
        """Process a datagram that came from the address of member `sender`."""
        try:
            message = self._decode(sender, payload)
        except InvalidDatagramError as error:
            self.dropped[error.reason] += 1
            return []
        remote = message.aggregation_round(now)
        is_obsolete = now - remote.started_at > _MAX_ROUND_AGE_INTERVALS * self.round_interval_us
        if is_obsolete or remote.key == self._forgotten_round:
            self.dropped[DropReason.TOO_OLD] += 1
            return self._finish_event(now)
        self._merge(now, sender, remote)
        if message.kind is ExchangeKind.PUSH_PULL:
            self._exchanges.reply(now, sender, remote, message.chunk)
        return self._finish_event(now)

    def tick(self, now: int) -> list[RolloutAction]:
        """Do what is due at `now`; the caller calls this at the time of the last ScheduleTick or later."""
        self._end_round_if_due(now)
        if self._exchanges.next_at <= now:
            self._begin_exchange(now)
        return self._finish_event(now)

    def configuration_applied(self, now: int, version: int, digest: int) -> list[RolloutAction]:
        """Record that this sidecar applied its file; a version lower than the one in force is ignored."""
        if not self.permits(version):
            return []
        state = self._state
        state.version, state.digest = version, digest
        if version > state.round.version:
            self._start_newer_version(
                now, state.number, self._new_round(version, _FIRST_ROUND, state.number, now)
            )
        elif state.has_newest_in_force:
            self._replace_round(now, state.round.with_in_force(state.number, digest))
        if state.has_newest_in_force:
            self._file_checks.stop()
        return self._finish_event(now)

    def configuration_pending(self, now: int, version: int) -> list[RolloutAction]:
        """Record that this sidecar's file has this version, which is not in force before a restart."""
        if version > self._state.round.version:
            empty = AggregationRound(version, _FIRST_ROUND, self._state.number, now)
            self._start_newer_version(now, self._state.number, empty)
        return self._finish_event(now)

    def configure(self, now: int, settings: RolloutSettings) -> list[RolloutAction]:
        """Apply new settings; the members are those in membership's table."""
        self._state.settings = settings
        self._exchanges.schedule_within(now, self._state.exchange_period_us)
        return self._finish_event(now)

    def permits(self, version: int) -> bool:
        """Return whether a file of this version may be applied: not if it is older than the one in force."""
        return version >= self._state.version

    # State

    @property
    def version(self) -> int:
        """The version in force here."""
        return self._state.version

    @property
    def digest(self) -> int:
        """The digest of the configuration in force here."""
        return self._state.digest

    @property
    def round(self) -> AggregationRound:
        """The latest aggregation round, about the newest known version."""
        return self._state.round

    @property
    def newest_received_at(self) -> int:
        """The time at which this member learned of the newest version."""
        return self._state.newest_received_at

    @property
    def newest_received_from(self) -> int:
        """The member from which this one learned of the newest version; itself if its own file had it."""
        return self._state.newest_received_from

    @property
    def round_interval_us(self) -> int:
        """The time between the starts of two rounds."""
        return self._state.round_interval_us

    def status(self, now: int) -> RolloutStatus:
        """Return the rollout status of the newest known version."""
        return rollout_status(self._state, now)

    # Rounds

    def _new_round(self, version: int, number: int, first_reported_by: int, now: int) -> AggregationRound:
        """Return a new round, with the local member's report if it has the version in force."""
        return self._with_local_report(AggregationRound(version, number, first_reported_by, now))

    def _with_local_report(self, round_: AggregationRound) -> AggregationRound:
        if round_.version != self._state.version:
            return round_
        return round_.with_in_force(self._state.number, self._state.digest)

    def _next_round(self, now: int) -> AggregationRound:
        current = self._state.round
        return self._new_round(current.version, current.number + 1, current.first_reported_by, now)

    def _merge(self, now: int, sender: int, remote: AggregationRound) -> None:
        """Merge a received round into the local one; rounds with a lower key are ignored."""
        state = self._state
        if remote.version > state.round.version:
            self._start_newer_version(now, sender, remote)
        elif remote.key >= state.round.key:
            self._replace_round(now, self._with_local_report(state.round.merged_with(remote)))
        if not state.has_newest_in_force and state.round.in_force & member_bit(state.number):
            self._start_correcting_round(now)

    def _start_newer_version(self, now: int, sender: int, round_: AggregationRound) -> None:
        """Adopt a round about a newer version, push it to a few members and schedule a read of the file."""
        state = self._state
        state.newest_received_at, state.newest_received_from = now, sender
        state.previous_round = None
        self._replace_round(now, round_)
        self._exchanges.push_newer_version(now, sender)
        if not state.has_newest_in_force:
            self._file_checks.start(now)

    def _replace_round(self, now: int, round_: AggregationRound) -> None:
        """Adopt a round; if its reports differ from the present one's, schedule an exchange soon."""
        state = self._state
        replaced, state.round = state.round, round_
        if replaced.equals_ignoring_start(round_):
            return
        is_next_round = replaced.version == round_.version and replaced.number != round_.number
        if is_next_round and now - replaced.started_at >= state.round_completion_us:
            state.previous_round = replaced
        self._exchanges.round_changed(now)

    def _start_correcting_round(self, now: int) -> None:
        """Start a new round because the latest one wrongly reports the version in force at this member.

        This happens for example after a restart with an older file.  Such rounds are started at most once per
        interval.
        """
        is_recent = self._corrected_at is not None and now - self._corrected_at < self.round_interval_us
        if not is_recent and self._state.round.number < MAX_ROUND_NUMBER:
            self._corrected_at = now
            self._replace_round(now, self._next_round(now).with_behind(self._state.number))

    def _end_round_if_due(self, now: int) -> None:
        """Start the next round when it is due, or forget a version for which no member starts a round."""
        age_us = now - self._state.round.started_at
        if self._can_start_round:
            if age_us >= self.round_interval_us:
                self._replace_round(now, self._next_round(now))
        elif age_us >= _MAX_ROUND_AGE_INTERVALS * self.round_interval_us:
            self._forget_version(now)

    @property
    def _can_start_round(self) -> bool:
        return self._state.has_newest_in_force and self._state.round.number < MAX_ROUND_NUMBER

    def _forget_version(self, now: int) -> None:
        """Replace the round by the first one about the version in force here; report a forgotten version."""
        state = self._state
        self._forgotten_round = state.round.key
        if not state.has_newest_in_force:
            self._forgotten_version = VersionForgotten(state.round.version, state.round.first_reported_by)
        state.previous_round = None
        self._file_checks.stop()
        state.newest_received_at, state.newest_received_from = now, state.number
        self._replace_round(now, self._new_round(state.version, _FIRST_ROUND, state.number, now))

    # Datagrams

    def _decode(self, sender: int, payload: bytes) -> RolloutMessage:
        if not 0 <= sender < len(self._state.table) or sender == self._state.number:
            raise InvalidDatagramError(DropReason.UNKNOWN_SENDER)
        return decode(payload, self._cluster, sender)

    def _begin_exchange(self, now: int) -> None:
        """Exchange the round with a member, after adding the local report if this member is behind."""
        state = self._state
        if not state.has_newest_in_force:
            state.round = state.round.with_behind(state.number)
        self._exchanges.begin(now)

    # Actions

    def _finish_event(self, now: int) -> list[RolloutAction]:
        """Return the event's actions; the last ones schedule the next tick and read the file.

        The tick comes before the read, because reading the file may deliver another event, which schedules a
        new tick that must not be overwritten.
        """
        actions: list[RolloutAction] = []
        if self._forgotten_version is not None:
            actions.append(self._forgotten_version)
            self._forgotten_version = None
        actions += self._exchanges.drain()
        actions += self._reports.due(now)
        # Computed before the file checks, which change only the time of their own next read.
        deadlines = self._deadlines()
        is_check_due = self._file_checks.is_due(now)
        if is_check_due:
            if self._file_checks.mark_missing_if_due(now):
                round_, elapsed_us = self._state.round, now - self._state.newest_received_at
                actions.append(VersionMissing(round_.version, round_.first_reported_by, elapsed_us))
            self._file_checks.checked(now)
        if self._file_checks.next_at is not None:
            deadlines.append(self._file_checks.next_at)
        actions.append(ScheduleTick(max(min(deadlines), now)))
        if is_check_due:
            actions.append(ReadConfiguration())
        return actions

    def _deadlines(self) -> list[int]:
        """Return the times at which the next exchange, round and report are due."""
        intervals = 1 if self._can_start_round else _MAX_ROUND_AGE_INTERVALS
        round_ends_at = self._state.round.started_at + intervals * self.round_interval_us
        deadlines = [self._exchanges.next_at, round_ends_at]
        if self._reports.deadline is not None:
            deadlines.append(self._reports.deadline)
        return deadlines
