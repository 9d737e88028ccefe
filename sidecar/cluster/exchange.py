"""Datagrams about versions of the configuration: MessagePack, read strictly, of their own format version.

An exchange is [2, tier, sender, kind, version, wave, age, by, low, high, piece, has, behind].  The version of
the program before drops it by its head as "another version" (`sidecar.cluster.message`).
"""

from __future__ import annotations

from enum import IntEnum, unique
from typing import Annotated

import msgspec

from sidecar.cluster.limits import MAX_DATAGRAM_BYTES
from sidecar.cluster.message import MAX_MEMBERS, DropReason, InvalidDatagram, MemberNumber
from sidecar.cluster.tally import NO_DIGEST, PIECE, Tally, unpacked

FORMAT = 2
LAST_VERSION = (1 << 63) - 1
LAST_WAVE = 0xFFFF_FFFF
MOST_AGE = 0xFFFF  # tenths of seconds
_TENTH_US = 100_000
_LAST_PIECE = (MAX_MEMBERS - 1) // PIECE
_HEADER = 0x90  # of a MessagePack array of up to 15 entries, its length in the lower half


@unique
class Kind(IntEnum):
    """Whether the sender wants to hear what it lacks."""

    TELL = 0
    ASK = 1


Word = Annotated[int, msgspec.Meta(ge=0, le=0xFFFF_FFFF)]
Bits = Annotated[bytes, msgspec.Meta(max_length=PIECE // 8)]


class Exchange(msgspec.Struct, array_like=True, forbid_unknown_fields=True, gc=False):
    """One datagram."""

    format: Annotated[int, msgspec.Meta(ge=FORMAT, le=FORMAT)]
    tier: Word
    sender: MemberNumber
    kind: Kind
    version: Annotated[int, msgspec.Meta(ge=0, le=LAST_VERSION)]
    wave: Annotated[int, msgspec.Meta(ge=1, le=LAST_WAVE)]
    age: Annotated[int, msgspec.Meta(ge=0, le=MOST_AGE)]  # of the wave, in tenths of seconds
    by: MemberNumber
    low: Word
    high: Word
    piece: Annotated[int, msgspec.Meta(ge=0, le=_LAST_PIECE)]
    has: Bits
    behind: Bits

    def tally(self, now: int) -> Tally:
        """What it says, of the members of its piece."""
        has, behind = unpacked(self.has, self.piece), unpacked(self.behind, self.piece)
        began = now - self.age * _TENTH_US
        return Tally(self.version, self.wave, self.by, began, self.low, self.high, has, behind)


_DECODER = msgspec.msgpack.Decoder(Exchange)
_ENCODER = msgspec.msgpack.Encoder()


def is_exchange(payload: bytes) -> bool:
    """Whether a datagram begins as one of these do; the rest are membership's."""
    return payload[1:2] == b"\x02" and payload[0] & 0xF0 == _HEADER


def read(payload: bytes, tier: int, sender: int) -> Exchange:
    """Read what came from the address of `sender`; raise InvalidDatagram on anything not of this form."""
    if len(payload) > MAX_DATAGRAM_BYTES:
        raise InvalidDatagram(DropReason.TOO_LONG)
    try:
        given = _DECODER.decode(payload)
    except (msgspec.DecodeError, ValueError, RecursionError):
        raise InvalidDatagram(DropReason.MALFORMED) from None
    if given.tier != tier:
        raise InvalidDatagram(DropReason.OTHER_CLUSTER)
    if given.sender != sender:
        raise InvalidDatagram(DropReason.WRONG_SENDER)
    if given.low > given.high and (given.low, given.high) != NO_DIGEST:
        raise InvalidDatagram(DropReason.MALFORMED)
    if given.has.endswith(b"\0") or given.behind.endswith(b"\0"):
        raise InvalidDatagram(DropReason.MALFORMED)
    return given


def write(tier: int, sender: int, kind: Kind, tally: Tally, piece: int, now: int) -> bytes:
    """One piece of a tally as a datagram."""
    age = min(max((now - tally.began) // _TENTH_US, 0), MOST_AGE)
    has, behind = tally.piece(piece)
    return _ENCODER.encode(
        Exchange(
            FORMAT,
            tier,
            sender,
            kind,
            tally.version,
            tally.wave,
            age,
            tally.by,
            tally.low,
            tally.high,
            piece,
            has,
            behind,
        )
    )
