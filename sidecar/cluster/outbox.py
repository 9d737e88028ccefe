"""Collects the actions of the local member and composes its datagrams."""

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
    """The actions that the local member has not returned to its caller yet, in order."""

    def __init__(self, cluster: int, local: LocalMember, table: MemberTable) -> None:
        self.dissemination = DisseminationQueue()
        self.digests_differ = True  # whether the last sender's table had another digest
        self._cluster, self._local, self._table = cluster, local, table
        self._sketch_first = 0  # first member that the next sketch covers
        self._actions: list[MembershipAction] = []

    def add(self, action: MembershipAction) -> None:
        """Append an action for the next `drain`."""
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

        As far as they fit, the message carries an update about the receiver if it is not believed present,
        then the requested updates, then updates from the dissemination queue.
        """
        sketch_first, sketch_bytes = 0, b""
        if kind is MessageKind.PING and self.digests_differ:
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
        """Discard queued updates about members that are no longer in the table."""
        self.dissemination.discard_from(len(self._table))
        self._sketch_first = 0

    def _pack_updates_about(self, receiver: int, packer: UpdatePacker) -> None:
        """Add the update about the receiver if it is not believed present, so that it can refute it."""
        record = self._table[receiver]
        update = record.disputed_death or record.update
        if update.state is not MemberState.PRESENT:
            packer.try_add(update)

    def _next_sketch(self, salt: int) -> tuple[int, bytes]:
        """Return the first member and the sketch of the next section of the table."""
        first = self._sketch_first
        next_first = first + MAX_SKETCH_MEMBERS
        self._sketch_first = next_first if next_first < len(self._table) else 0
        return first, sketch(self._table.updates(first, MAX_SKETCH_MEMBERS), salt)
