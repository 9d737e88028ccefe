"""Comparison of two members' tables: one digest of a table, and sketches that show which entries differ."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from hashlib import blake2b

from sidecar.cluster.message import MembershipUpdate, MemberState

_FINGERPRINTED = struct.Struct("<HIB")  # member, incarnation, state
_FINGERPRINT_BYTES = 4
_SKETCH_MASK = 0b1111  # a sketch holds half a byte of each fingerprint


def fingerprint(update: MembershipUpdate, key: bytes = b"") -> int:
    """The number that an update adds to the digest of a table.

    Suspicions and refutations are transient and count for nothing: incarnations and their ends have to agree.
    """
    has_ended = update.has_ended
    if update.incarnation == 0 and not has_ended:
        return 0
    state = update.state if has_ended else MemberState.PRESENT
    packed = _FINGERPRINTED.pack(update.member, update.incarnation, state)
    return int.from_bytes(blake2b(packed, digest_size=_FINGERPRINT_BYTES, key=key).digest())


def sketch(updates: Sequence[MembershipUpdate], salt: int) -> bytes:
    """Half a byte for each update: equal where the same is believed.

    One in sixteen differing updates is equal by chance, but hardly so with the salt of the next ping too.
    """
    key = salt.to_bytes(2)
    halves = [fingerprint(update, key) & _SKETCH_MASK for update in updates]
    if len(halves) % 2:
        halves.append(0)
    return bytes(high << 4 | low for high, low in zip(halves[::2], halves[1::2], strict=True))


def differing_updates(
    updates: Sequence[MembershipUpdate], salt: int, remote_sketch: bytes
) -> list[MembershipUpdate]:
    """Those of the updates that are known here and differ at the member that sent the sketch.

    `updates` begin with the sketch's first member; there are at most two for each byte of the sketch.
    """
    differences: list[int] = []
    for local, remote in zip(sketch(updates, salt), remote_sketch, strict=False):
        difference = local ^ remote
        differences += (difference >> 4, difference & _SKETCH_MASK)
    compared = zip(updates, differences, strict=False)
    return [update for update, difference in compared if difference and not update.is_unknown]
