"""What goes into each datagram: who speaks, the question or answer, and the news that fits."""

from __future__ import annotations

from collections.abc import Sequence

from sidecar.cluster.gossip import Gossip
from sidecar.cluster.message import MOST_SKETCHED, NOBODY, VERSION, Claim, Kind, Message, Room, State, write
from sidecar.cluster.table import Table
from sidecar.cluster.view import Datagram


class Post:
    """Writes one member's datagrams."""

    def __init__(self, me: int, tier: int, table: Table) -> None:
        self.gossip = Gossip()
        self.differs = True  # whether the last one heard believes otherwise
        self._me, self._tier, self._table = me, tier, table
        self._sketch_from = 0  # the piece of the table that the next question is about, if it does

    def write(
        self,
        life: int,
        receiver: int | None,
        kind: Kind,
        question: int,
        target: int = NOBODY,
        wanted: Sequence[Claim] = (),
    ) -> Datagram:
        """A datagram: first what the receiver has to hear of itself, then what it wants, then news."""
        first, sketch = self._sketch(question) if kind is Kind.ASK else (0, b"")
        digest = self._table.digest
        message = Message(
            VERSION, self._tier, self._me, life, kind, question, target, digest, first, sketch, []
        )
        room = Room(message)
        if receiver is not None:
            member = self._table[receiver]
            owed = member.rumour or member.claim
            if owed.state is not State.PRESENT:
                room.add(owed)
        for claim in wanted:
            if not room.add(claim):
                break
        self.gossip.fill(room, len(self._table))
        return Datagram(receiver, write(message))

    def resize(self) -> None:
        """The table has another size."""
        self.gossip.drop(len(self._table))
        self._sketch_from = 0

    def _sketch(self, question: int) -> tuple[int, bytes]:
        """Where views differ, a question tells of what is believed here: one piece of the table at a time."""
        if not self.differs:
            return 0, b""
        first = self._sketch_from
        self._sketch_from = first + MOST_SKETCHED if first + MOST_SKETCHED < len(self._table) else 0
        return first, self._table.sketch(first, question)
