"""The local member's own identity: its number, and which incarnation of it this process is."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar.cluster.message import MAX_INCARNATION, MembershipUpdate, MemberState

_EPOCH_S = 1_767_225_600  # 2026-01-01: incarnations are tenths of seconds since then


def incarnation_at(unix_s: float) -> int:
    """The incarnation that begins at this Unix time."""
    return max(1, min(int((unix_s - _EPOCH_S) * 10), MAX_INCARNATION // 2))


@dataclass(slots=True)
class LocalMember:
    """This process as a member."""

    number: int
    incarnation: int
    refutations: int = 0  # of suspicions, within this incarnation

    def update(self) -> MembershipUpdate:
        """The update by which it says that it is present."""
        return MembershipUpdate.create(
            self.number, self.incarnation, MemberState.PRESENT, self.refutations, self.number
        )

    def begin_incarnation(self, incarnation: int) -> None:
        """Continue as this incarnation, at most the greatest one, with no refutations."""
        self.incarnation, self.refutations = min(incarnation, MAX_INCARNATION), 0
