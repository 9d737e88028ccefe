"""Which configuration version is in force where, as one sidecar sees it: events in, actions out, no I/O.

Members aggregate in rounds who has the newest version in force.  A round starts anew every so often, so that
a member that went back to an older version, or was replaced, drops out of it.  docs/rollout.md states the
guarantees.
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
_OBSOLETE_ROUNDS = 3  # a round that started this many intervals ago is not taken any more


class Rollout:
    """One member's part, from when the mechanism is switched on.  All times are microseconds."""

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
        """`table` is membership's, read only; `version` is in force, with contents of this digest."""
        self.dropped: Counter[DropReason] = Counter()
        self._cluster = cluster_id(cluster)
        first_round = AggregationRound(version, _FIRST_ROUND, number, now).with_in_force(number, digest)
        self._state = RolloutState(
            number, table, settings, rng, version, digest, now, newest_received_from=number, round=first_round
        )
        self._exchanges = RolloutExchanges(self._state, self._cluster, now)
        self._file_checks = ConfigurationFileChecks(self._state, now)
        self._reports = RolloutReports(self._state)
        self._forgotten_version: VersionForgotten | None = None  # to be reported
        self._forgotten_round: tuple[int, int] | None = None
        self._corrected_at: int | None = None  # when a round was started because of a wrong one

    # Events

    def start(self, now: int) -> list[RolloutAction]:
        """Exchange at once: this process may have started with an older file."""
        self._begin_exchange(now)
        return self._finish_event(now)

    def datagram_received(self, now: int, sender: int, payload: bytes) -> list[RolloutAction]:
        """A datagram came from the address of the member `sender`."""
        try:
            message = self._decode(sender, payload)
        except InvalidDatagramError as invalid:
            self.dropped[invalid.reason] += 1
            return []
        remote = message.aggregation_round(now)
        is_obsolete = now - remote.started_at > _OBSOLETE_ROUNDS * self.round_interval_us
        if is_obsolete or remote.key == self._forgotten_round:
            self.dropped[DropReason.TOO_OLD] += 1
            return self._finish_event(now)
        self._merge(now, sender, remote)
        if message.kind is ExchangeKind.PUSH_PULL:
            self._exchanges.reply(now, sender, remote, message.chunk)
        return self._finish_event(now)

    def tick(self, now: int) -> list[RolloutAction]:
        """The time of the last ScheduleTick has come, or passed."""
        self._follow_round(now)
        if self._exchanges.next_at <= now:
            self._begin_exchange(now)
        return self._finish_event(now)

    def configuration_applied(self, now: int, version: int, digest: int) -> list[RolloutAction]:
        """This sidecar's file was applied; a lower version than that in force changes nothing."""
        if not self.permits(version):
            return []
        state = self._state
        state.version, state.digest = version, digest
        if version > state.round.version:
            self._start_newer_version(
                now, state.number, self._own_round(version, _FIRST_ROUND, state.number, now)
            )
        elif state.has_newest:
            self._replace_round(now, state.round.with_in_force(state.number, digest))
        if state.has_newest:
            self._file_checks.stop()
        return self._finish_event(now)

    def configuration_pending(self, now: int, version: int) -> list[RolloutAction]:
        """This sidecar's file has this version, but a part of it takes a restart: it is not in force."""
        if version > self._state.round.version:
            empty = AggregationRound(version, _FIRST_ROUND, self._state.number, now)
            self._start_newer_version(now, self._state.number, empty)
        return self._finish_event(now)

    def configure(self, now: int, settings: RolloutSettings) -> list[RolloutAction]:
        """Apply other settings; which members there are is read from membership's table."""
        self._state.settings = settings
        self._exchanges.schedule_within(now, self._state.exchange_period_us)
        return self._finish_event(now)

    def permits(self, version: int) -> bool:
        """Whether a file of this version may be applied: never one older than the version in force."""
        return version >= self._state.version

    # What is known

    @property
    def version(self) -> int:
        """The version in force here."""
        return self._state.version

    @property
    def digest(self) -> int:
        """Of the contents in force here."""
        return self._state.digest

    @property
    def round(self) -> AggregationRound:
        """The latest aggregation round, about the newest version that was heard of."""
        return self._state.round

    @property
    def newest_received_at(self) -> int:
        """Clock time in microseconds at which the newest version was heard of."""
        return self._state.newest_received_at

    @property
    def newest_received_from(self) -> int:
        """The number of the member from which the newest version was heard."""
        return self._state.newest_received_from

    @property
    def round_interval_us(self) -> int:
        """From the start of a round to that of the next."""
        return self._state.round_interval_us

    def status(self, now: int) -> RolloutStatus:
        """Whether the newest version that was heard of is in force everywhere."""
        return rollout_status(self._state, now)

    # Rounds

    def _own_round(self, version: int, number: int, first_reported_by: int, now: int) -> AggregationRound:
        """A new round, with this member's report if it has the version in force."""
        return self._with_local_report(AggregationRound(version, number, first_reported_by, now))

    def _with_local_report(self, round_: AggregationRound) -> AggregationRound:
        if round_.version != self._state.version:
            return round_
        return round_.with_in_force(self._state.number, self._state.digest)

    def _next_round(self, now: int) -> AggregationRound:
        current = self._state.round
        return self._own_round(current.version, current.number + 1, current.first_reported_by, now)

    def _merge(self, now: int, sender: int, remote: AggregationRound) -> None:
        state = self._state
        if remote.version > state.round.version:
            self._start_newer_version(now, sender, remote)
        elif remote.key >= state.round.key:
            self._replace_round(now, self._with_local_report(state.round.merged_with(remote)))
        if not state.has_newest and state.round.in_force & member_bit(state.number):
            self._correct(now)

    def _start_newer_version(self, now: int, sender: int, round_: AggregationRound) -> None:
        """A version that is news: pushed on to a few members, and looked for in the file."""
        state = self._state
        state.newest_received_at, state.newest_received_from = now, sender
        state.previous_round = None
        self._replace_round(now, round_)
        self._exchanges.push_newer_version(now, sender)
        if not state.has_newest:
            self._file_checks.start(now)

    def _replace_round(self, now: int, round_: AggregationRound) -> None:
        """Keep this round; if it says anything new, others have to hear of it soon."""
        state = self._state
        replaced, state.round = state.round, round_
        if replaced.equals_ignoring_start(round_):
            return
        is_next_round = replaced.version == round_.version and replaced.number != round_.number
        if is_next_round and now - replaced.started_at >= state.round_completion_us:
            state.previous_round = replaced
        self._exchanges.round_changed(now)

    def _correct(self, now: int) -> None:
        """Start a new round: the latest one says wrongly that this member has the version in force.

        It did before a restart, for example.
        """
        is_recent = self._corrected_at is not None and now - self._corrected_at < self.round_interval_us
        if not is_recent and self._state.round.number < MAX_ROUND_NUMBER:
            self._corrected_at = now
            self._replace_round(now, self._next_round(now).with_behind(self._state.number))

    def _follow_round(self, now: int) -> None:
        """Start the next round, or forget a version for which nobody starts one."""
        age_us = now - self._state.round.started_at
        if self._starts_next_round:
            if age_us >= self.round_interval_us:
                self._replace_round(now, self._next_round(now))
        elif age_us >= _OBSOLETE_ROUNDS * self.round_interval_us:
            self._forget_version(now)

    @property
    def _starts_next_round(self) -> bool:
        return self._state.has_newest and self._state.round.number < MAX_ROUND_NUMBER

    def _forget_version(self, now: int) -> None:
        state = self._state
        self._forgotten_round = state.round.key
        if not state.has_newest:
            self._forgotten_version = VersionForgotten(state.round.version, state.round.first_reported_by)
        state.previous_round = None
        self._file_checks.stop()
        state.newest_received_at, state.newest_received_from = now, state.number
        self._replace_round(now, self._own_round(state.version, _FIRST_ROUND, state.number, now))

    # Datagrams

    def _decode(self, sender: int, payload: bytes) -> RolloutMessage:
        if not 0 <= sender < len(self._state.table) or sender == self._state.number:
            raise InvalidDatagramError(DropReason.UNKNOWN_SENDER)
        return decode(payload, self._cluster, sender)

    def _begin_exchange(self, now: int) -> None:
        state = self._state
        if not state.has_newest:
            state.round = state.round.with_behind(state.number)
        self._exchanges.begin(now)

    # Actions

    def _finish_event(self, now: int) -> list[RolloutAction]:
        """Return the event's actions; the last ones schedule the next tick and read the file."""
        actions: list[RolloutAction] = []
        if self._forgotten_version is not None:
            actions.append(self._forgotten_version)
            self._forgotten_version = None
        actions += self._exchanges.drain()
        actions += self._reports.due(now)
        # As of before the file is checked: a check replaces its own deadline alone.
        deadlines = self._deadlines()
        is_check_due = self._file_checks.is_due(now)
        if is_check_due:
            if self._file_checks.becomes_missing(now):
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
        """When the next exchange, round and report are due."""
        intervals = 1 if self._starts_next_round else _OBSOLETE_ROUNDS
        round_ends_at = self._state.round.started_at + intervals * self.round_interval_us
        deadlines = [self._exchanges.next_at, round_ends_at]
        if self._reports.deadline is not None:
            deadlines.append(self._reports.deadline)
        return deadlines
