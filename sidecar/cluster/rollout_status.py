"""Whether a configuration version is in force everywhere, as members say themselves."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar.cluster.member_set import first_members, member_bit
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.message import MemberState
from sidecar.cluster.rollout_state import RolloutState

MAX_LISTED_MEMBERS = 16  # by number; further ones are counted


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """The newest version that was heard of, by the latest aggregation round that can tell."""

    version: int
    is_in_force_everywhere: bool | None  # None: unknown, as the word of some member is missing
    in_force_count: int
    required_count: int  # members whose word is needed: all that neither left nor were declared dead
    behind: tuple[int, ...]  # say that they have it not; MAX_LISTED_MEMBERS at most
    behind_count: int
    missing: tuple[int, ...]  # not heard in that round; MAX_LISTED_MEMBERS at most
    missing_count: int
    min_digest: int  # of the contents that members have under this version
    max_digest: int
    round_number: int
    round_age_us: int  # no member's word is older

    @property
    def is_ambiguous(self) -> bool:
        """Whether members have different contents under this version."""
        return self.min_digest < self.max_digest


def rollout_status(state: RolloutState, now: int) -> RolloutStatus:
    """Evaluate the latest round, or the one before as long as the latest has not had time to fill."""
    round_ = state.round
    in_force, behind = round_.in_force, round_.behind
    min_digest, max_digest = round_.min_digest, round_.max_digest
    required = _required_members(state.table)
    is_incomplete = now - round_.started_at < state.round_completion_us
    if state.previous_round is not None and required & ~in_force and is_incomplete:
        # What was said in the latest round takes precedence already.
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
    """The members whose word is needed; a member in a minority needs that of the dead too.

    It is rather the local member that is cut off then.
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
