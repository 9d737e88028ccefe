"""Comparison of two members' tables by a digest of the whole table and sketches of its sections."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from hashlib import blake2b

from sidecar.cluster.message import MembershipUpdate, MemberState

_FINGERPRINTED = struct.Struct("<HIB")  # member, incarnation, state
_FINGERPRINT_BYTES = 4
_SKETCH_MASK = 0b1111  # a sketch holds four bits of each fingerprint


def fingerprint(update: MembershipUpdate, key: bytes = b"") -> int:
    """Return the hash of an update; the digest of a table is the XOR of its updates' fingerprints.

    Only the incarnation and whether and how it ended are hashed: suspicions and refutations are transient,
    and tables need not agree on them.  The fingerprint of an unknown member is 0.
    """
    has_ended = update.has_ended
    if update.incarnation == 0 and not has_ended:
        return 0
    state = update.state if has_ended else MemberState.PRESENT
    packed = _FINGERPRINTED.pack(update.member, update.incarnation, state)
    return int.from_bytes(blake2b(packed, digest_size=_FINGERPRINT_BYTES, key=key).digest())


def sketch(updates: Sequence[MembershipUpdate], salt: int) -> bytes:
    """Return four bits of the fingerprint of each update, keyed with `salt`.

    One in sixteen differing updates has equal bits by chance; the salt changes with each ping, so that the
    difference shows in a later sketch.
    """
    key = salt.to_bytes(2)
    nibbles = [fingerprint(update, key) & _SKETCH_MASK for update in updates]
    if len(nibbles) % 2:
        nibbles.append(0)
    return bytes(high << 4 | low for high, low in zip(nibbles[::2], nibbles[1::2], strict=True))


def differing_updates(
    updates: Sequence[MembershipUpdate], salt: int, remote_sketch: bytes
) -> list[MembershipUpdate]:
    """Return the updates about known members that differ from the remote sketch.

    `updates` begin with the first member of the sketch; there are at most two for each byte of the sketch.
    """
    differences: list[int] = []
    for local, remote in zip(sketch(updates, salt), remote_sketch, strict=False):
        difference = local ^ remote
        differences += (difference >> 4, difference & _SKETCH_MASK)
    compared = zip(updates, differences, strict=False)
    return [update for update, difference in compared if difference and not update.is_unknown]
