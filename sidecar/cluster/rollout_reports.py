"""Reports of a rollout: once for each version that it is in force everywhere, late, or ambiguous."""

from __future__ import annotations

from sidecar.cluster.rollout_actions import AmbiguousVersion, RolloutConcluded, RolloutReport
from sidecar.cluster.rollout_state import NO_VERSION, RolloutState
from sidecar.cluster.rollout_status import rollout_status


class RolloutReports:
    """Keeps what was reported already.  All times are microseconds."""

    def __init__(self, state: RolloutState) -> None:
        self._state = state
        self._reported_ambiguous = NO_VERSION

    @property
    def deadline(self) -> int | None:
        """When the newest version is reported to be late; None if its rollout was reported already."""
        state = self._state
        if state.round.version in (state.reported_in_force, state.reported_late):
            return None
        return state.newest_received_at + state.round_interval_us

    def due(self, now: int) -> list[RolloutReport]:
        """What is to be reported now."""
        reports: list[RolloutReport] = []
        round_ = self._state.round
        if round_.is_ambiguous and self._reported_ambiguous != round_.version:
            self._reported_ambiguous = round_.version
            reports.append(AmbiguousVersion(round_.version, round_.min_digest, round_.max_digest))
        concluded = self._conclusion(now)
        if concluded is not None:
            reports.append(concluded)
        return reports

    def _conclusion(self, now: int) -> RolloutConcluded | None:
        state, version = self._state, self._state.round.version
        if state.reported_in_force == version:
            return None
        # Counting first is cheap; the status walks over all members.
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
