"""What leaves the local member: actions in order, and the composition of each datagram."""

from __future__ import annotations

from collections.abc import Sequence

from sidecar.cluster.actions import MembershipAction, SendDatagram
from sidecar.cluster.anti_entropy import sketch
from sidecar.cluster.dissemination import DisseminationQueue
from sidecar.cluster.local_member import LocalMember
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.message import (
    FORMAT_VERSION,
    MAX_SKETCH_MEMBERS,
    NO_TARGET,
    MembershipUpdate,
    MemberState,
    Message,
    MessageKind,
    UpdatePacker,
    encode,
)


class Outbox:
    """Collects one member's actions until they are drained."""

    def __init__(self, cluster: int, local: LocalMember, table: MemberTable) -> None:
        self.dissemination = DisseminationQueue()
        self.views_differ = True  # whether the member heard last had another table
        self._cluster, self._local, self._table = cluster, local, table
        self._sketch_first = 0  # first member of the piece of the table that the next sketch describes
        self._actions: list[MembershipAction] = []

    def add(self, action: MembershipAction) -> None:
        """Collect an action for the next `drain`."""
        self._actions.append(action)

    def drain(self) -> list[MembershipAction]:
        """Return the actions collected since the last call."""
        actions, self._actions = self._actions, []
        return actions

    def send(
        self,
        receiver: int | None,
        kind: MessageKind,
        sequence_number: int,
        target: int = NO_TARGET,
        requested: Sequence[MembershipUpdate] = (),
    ) -> None:
        """Send a message to one member, or to all (None).

        Its updates are what the receiver has to hear about itself, then what it requested, then news.
        """
        sketch_first, sketch_bytes = 0, b""
        if kind is MessageKind.PING and self.views_differ:
            sketch_first, sketch_bytes = self._next_sketch(sequence_number)
        message = Message(
            FORMAT_VERSION,
            self._cluster,
            self._local.number,
            self._local.incarnation,
            kind,
            sequence_number,
            target,
            self._table.digest,
            sketch_first,
            sketch_bytes,
            [],
        )
        packer = UpdatePacker(message)
        if receiver is not None:
            self._pack_updates_about(receiver, packer)
        for update in requested:
            if not packer.try_add(update):
                break
        self.dissemination.pack(packer, len(self._table))
        self._actions.append(SendDatagram(receiver, encode(message)))

    def table_resized(self) -> None:
        """Discard updates about members that are no longer in the table."""
        self.dissemination.discard_from(len(self._table))
        self._sketch_first = 0

    def _pack_updates_about(self, receiver: int, packer: UpdatePacker) -> None:
        """Tell a member that it is not believed present, so that it can refute it."""
        record = self._table[receiver]
        update = record.disputed_death or record.update
        if update.state is not MemberState.PRESENT:
            packer.try_add(update)

    def _next_sketch(self, salt: int) -> tuple[int, bytes]:
        """The next piece of the table, as its first member and a sketch."""
        first = self._sketch_first
        following = first + MAX_SKETCH_MEMBERS
        self._sketch_first = following if following < len(self._table) else 0
        return first, sketch(self._table.updates(first, MAX_SKETCH_MEMBERS), salt)
