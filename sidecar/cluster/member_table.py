"""The table of all members, with the update in force for each; the order of updates does not matter."""

from __future__ import annotations

from collections import Counter

from sidecar.cluster.anti_entropy import differing_updates, fingerprint
from sidecar.cluster.cluster_size import ClusterSize
from sidecar.cluster.message import MembershipUpdate, MemberState


class MemberRecord:
    """What the local member believes about one member.  All times are microseconds."""

    __slots__ = ("disputed_death", "last_ack_at", "state_since", "update")

    def __init__(self, number: int, now: int) -> None:
        self.update = MembershipUpdate.create(number, 0, MemberState.PRESENT, 0, number)
        self.state_since = now
        self.last_ack_at: int | None = None  # last direct acknowledgement of a ping of the local member
        # A death that others report although the member acknowledged recently; it is sent to the member, so
        # that it can refute it.
        self.disputed_death: MembershipUpdate | None = None

    @property
    def state(self) -> MemberState:
        """The state in the update in force."""
        return self.update.state

    @property
    def is_unknown(self) -> bool:
        """Whether no incarnation of the member is known."""
        return self.update.is_unknown

    @property
    def has_ended(self) -> bool:
        """Whether the incarnation is dead or has left."""
        return self.update.has_ended


class MemberTable:
    """The records of all members by number, and a digest that is equal for tables that agree."""

    def __init__(self, size: int, now: int) -> None:
        self.records: list[MemberRecord] = []
        self.digest = 0
        self._size: ClusterSize | None = None  # cached; None after a change
        self.resize(size, now)

    def __len__(self) -> int:
        return len(self.records)

    def __getitem__(self, number: int) -> MemberRecord:
        return self.records[number]

    def resize(self, size: int, now: int) -> None:
        """Change the number of members: records beyond it are removed, new members are unknown."""
        self._size = None
        while len(self.records) > size:
            self.digest ^= fingerprint(self.records.pop().update)
        while len(self.records) < size:
            self.records.append(MemberRecord(len(self.records), now))

    def apply(self, update: MembershipUpdate, now: int) -> bool:
        """Apply an update if it takes precedence over the one in force; return whether it did."""
        record = self.records[update.member]
        if update.precedence <= record.update.precedence:
            return False
        if update.state is not record.state or update.incarnation != record.update.incarnation:
            record.state_since = now
        disputed = record.disputed_death
        if disputed is not None and update.precedence >= disputed.precedence:
            record.disputed_death = None
        self.digest ^= fingerprint(record.update) ^ fingerprint(update)
        record.update = update
        self._size = None
        return True

    def copy_beliefs(self, other: MemberTable) -> None:
        """Copy the update of each member from another table of the same size."""
        for record, other_record in zip(self.records, other.records, strict=True):
            record.update = other_record.update
        self.digest, self._size = other.digest, None

    def updates(self, first: int, count: int) -> list[MembershipUpdate]:
        """Return the updates in force of `count` members from `first` on, fewer at the end of the table."""
        return [record.update for record in self.records[first : first + count]]

    def updates_differing_from(self, first: int, salt: int, remote_sketch: bytes) -> list[MembershipUpdate]:
        """Return the updates of known members from `first` on that differ from another table's sketch."""
        return differing_updates(self.updates(first, 2 * len(remote_sketch)), salt, remote_sketch)

    def size(self) -> ClusterSize:
        """Return the number of members in each state; counted again only after a change."""
        if self._size is None:
            states = Counter(record.state for record in self.records)
            unknown = sum(record.is_unknown for record in self.records)
            self._size = ClusterSize(
                configured=len(self.records),
                present=states[MemberState.PRESENT] - unknown,
                suspected=states[MemberState.SUSPECTED],
                unknown=unknown,
                dead=states[MemberState.DEAD],
                left=states[MemberState.LEFT],
            )
        return self._size
