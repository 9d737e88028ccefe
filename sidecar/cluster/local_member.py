"""The identity of the local member: its number and its incarnation."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar.cluster.message import MAX_INCARNATION, MembershipUpdate, MemberState

_EPOCH_S = 1_767_225_600  # 2026-01-01: incarnations are tenths of seconds since then


def incarnation_at(unix_s: float) -> int:
    """Return the incarnation of a process that starts at this Unix time.

    It is at most half of the greatest one, so that later incarnations remain after a start with a clock far
    ahead.
    """
    return max(1, min(int((unix_s - _EPOCH_S) * 10), MAX_INCARNATION // 2))


@dataclass(slots=True)
class LocalMember:
    """This process as a member."""

    number: int
    incarnation: int
    refutations: int = 0  # suspicions refuted in this incarnation

    def update(self) -> MembershipUpdate:
        """Return the update that announces the local member as present."""
        return MembershipUpdate.create(
            self.number, self.incarnation, MemberState.PRESENT, self.refutations, self.number
        )

    def begin_incarnation(self, incarnation: int) -> None:
        """Change to this incarnation, limited to the greatest one, with no refutations."""
        self.incarnation, self.refutations = min(incarnation, MAX_INCARNATION), 0
