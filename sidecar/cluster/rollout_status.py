"""Whether a configuration version is in force everywhere, according to the members' reports."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar.cluster.member_set import first_members, member_bit
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.message import MemberState
from sidecar.cluster.rollout_state import RolloutState

MAX_LISTED_MEMBERS = 16  # listed by number; further ones are only counted


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """The state of the rollout of the newest known version, according to the latest aggregation rounds."""

    version: int
    is_in_force_everywhere: bool | None  # None: unknown, because reports of some members are missing
    in_force_count: int
    required_count: int  # members whose reports are required: all that neither left nor were declared dead
    behind: tuple[int, ...]  # reported the version not in force; at most MAX_LISTED_MEMBERS
    behind_count: int
    missing: tuple[int, ...]  # made no report; at most MAX_LISTED_MEMBERS
    missing_count: int
    min_digest: int  # lowest digest of the contents that members have under this version
    max_digest: int  # highest digest
    round_number: int
    round_age_us: int  # upper bound of the age of the reports

    @property
    def is_ambiguous(self) -> bool:
        """Whether members have different contents under this version."""
        return self.min_digest < self.max_digest


def rollout_status(state: RolloutState, now: int) -> RolloutStatus:
    """Evaluate the latest round, and the previous one too until the latest has had time to complete."""
    round_ = state.round
    in_force, behind = round_.in_force, round_.behind
    min_digest, max_digest = round_.min_digest, round_.max_digest
    required = _required_members(state.table)
    is_incomplete = now - round_.started_at < state.round_completion_us
    if state.previous_round is not None and required & ~in_force and is_incomplete:
        # Reports in the latest round take precedence.
        round_ = state.previous_round
        in_force |= round_.in_force & ~behind
        behind |= round_.behind & ~in_force
        min_digest = min(min_digest, round_.min_digest)
        max_digest = max(max_digest, round_.max_digest)
    behind &= required
    missing = required & ~in_force & ~behind
    return RolloutStatus(
        state.round.version,
        _is_in_force_everywhere(state.table, behind, missing),
        (in_force & required).bit_count(),
        required.bit_count(),
        tuple(first_members(behind, MAX_LISTED_MEMBERS)),
        behind.bit_count(),
        tuple(first_members(missing, MAX_LISTED_MEMBERS)),
        missing.bit_count(),
        min_digest,
        max_digest,
        round_.number,
        now - round_.started_at,
    )


def _required_members(table: MemberTable) -> int:
    """Return the set of members whose reports are required.

    While the local member is in a minority, it is more likely cut off than the others dead, so the reports of
    members declared dead are required too.
    """
    required = dead = 0
    for number, record in enumerate(table.records):
        if not record.has_ended:
            required |= member_bit(number)
        elif record.state is MemberState.DEAD:
            dead |= member_bit(number)
    return required | dead if table.size().is_in_minority else required


def _is_in_force_everywhere(table: MemberTable, behind: int, missing: int) -> bool | None:
    if behind:
        return False
    return None if missing or table.size().is_in_minority else True
