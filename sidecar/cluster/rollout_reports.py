"""Reports of a rollout: a version is in force everywhere, late or ambiguous; each once per version."""

from __future__ import annotations

from sidecar.cluster.rollout_actions import AmbiguousVersion, RolloutConcluded, RolloutReport
from sidecar.cluster.rollout_state import NO_VERSION, RolloutState
from sidecar.cluster.rollout_status import rollout_status


class RolloutReports:
    """Decides which reports are due and remembers those already made.  All times are microseconds."""

    def __init__(self, state: RolloutState) -> None:
        self._state = state
        self._reported_ambiguous = NO_VERSION

    @property
    def deadline(self) -> int | None:
        """The time at which the newest version is reported late; None if its rollout was reported already."""
        state = self._state
        if state.round.version in (state.reported_in_force, state.reported_late):
            return None
        return state.newest_received_at + state.round_interval_us

    def due(self, now: int) -> list[RolloutReport]:
        """Return the reports due now, and remember them as made."""
        reports: list[RolloutReport] = []
        round_ = self._state.round
        if round_.is_ambiguous and self._reported_ambiguous != round_.version:
            self._reported_ambiguous = round_.version
            reports.append(AmbiguousVersion(round_.version, round_.min_digest, round_.max_digest))
        conclusion = self._conclusion(now)
        if conclusion is not None:
            reports.append(conclusion)
        return reports

    def _conclusion(self, now: int) -> RolloutConcluded | None:
        """Return the report that the newest version is in force everywhere or late, if it is due."""
        state, version = self._state, self._state.round.version
        if state.reported_in_force == version:
            return None
        # Computing the status iterates over all members, so it is done only if a cheap count allows a report.
        may_be_everywhere = state.round.in_force.bit_count() >= state.table.size().at_most
        elapsed_us = now - state.newest_received_at
        is_late = elapsed_us >= state.round_interval_us and state.reported_late != version
        if not may_be_everywhere and not is_late:
            return None
        status = rollout_status(state, now)
        if status.is_in_force_everywhere:
            state.reported_in_force = version
        elif is_late:
            state.reported_late = version
        else:
            return None
        return RolloutConcluded(elapsed_us, status)
