"""Dissemination of updates with other messages; the number of transmissions grows with log(cluster size)."""

from __future__ import annotations

import math

from sidecar.cluster.message import MembershipUpdate, UpdatePacker

_TRANSMISSIONS_PER_DOUBLING = 2.0
_MIN_TRANSMISSIONS = 3


class DisseminationQueue:
    """Updates to be sent to other members, at most one about each member."""

    def __init__(self) -> None:
        self._queued: dict[int, tuple[int, MembershipUpdate]] = {}  # by member: transmissions so far, update

    def __len__(self) -> int:
        return len(self._queued)

    def enqueue(self, update: MembershipUpdate) -> None:
        """Queue an update; it replaces a queued update about the same member."""
        self._queued.pop(update.member, None)
        self._queued[update.member] = (0, update)

    def discard_from(self, size: int) -> None:
        """Discard the updates about members whose number is at least `size`."""
        for member in [number for number in self._queued if number >= size]:
            del self._queued[member]

    def pack(self, packer: UpdatePacker, size: int) -> None:
        """Add as many updates to a message as fit, the least often sent ones first."""
        if not self._queued:
            return
        limit = transmission_limit(size)
        for transmissions, update in sorted(self._queued.values(), key=lambda entry: entry[0]):
            if not packer.try_add(update):
                return
            if transmissions + 1 >= limit:
                del self._queued[update.member]
            else:
                self._queued[update.member] = (transmissions + 1, update)


def transmission_limit(size: int) -> int:
    """Return how many times one update is sent in a cluster of this size."""
    return max(math.ceil(_TRANSMISSIONS_PER_DOUBLING * math.log2(size + 1)), _MIN_TRANSMISSIONS)
