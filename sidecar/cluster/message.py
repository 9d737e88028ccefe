"""Datagrams between sidecars as bytes: MessagePack arrays of small whole numbers, read strictly.

A message is [version, tier, sender, life, kind, question, target, digest, sketch_from, sketch, claims]; a
claim is [member, life, mark, by].  What does not fit in every point is dropped as a whole, and counted by the
reason.
"""

from __future__ import annotations

from enum import IntEnum, unique
from typing import Annotated
from zlib import crc32

import msgspec

MOST_BYTES = 256
VERSION = 1
MOST_LIFE = 0xFFFF_FFFF
LAST_LIFE = MOST_LIFE - 0x1_0000  # a claim beyond leaves no room to live on after it
MOST_ROUND = 0x3FF
MOST_MEMBERS = 0x1_0000
MOST_QUESTION = 0xFFFF
NOBODY = -1
MOST_SKETCHED = 200  # members in one sketch, half a byte each
_MOST_CLAIMS = 64  # far more than fit into one datagram


@unique
class State(IntEnum):
    """What is believed of a life of a member."""

    PRESENT = 0
    SUSPECTED = 1
    DEAD = 2  # found out
    LEFT = 3  # its own word


@unique
class Kind(IntEnum):
    """What a message asks or answers."""

    ASK = 0  # are you there?  `question` is the asker's
    HERE = 1  # to that question; with a `target`, a relay's word that the target is there
    ASK_FOR = 2  # ask the `target` for me
    SILENT = 3  # a relay's word that it is here, but the target has not answered it
    LEAVING = 4  # the sender's life ends as planned


Member = Annotated[int, msgspec.Meta(ge=0, lt=MOST_MEMBERS)]
Life = Annotated[int, msgspec.Meta(ge=0, le=LAST_LIFE)]
Mark = Annotated[int, msgspec.Meta(ge=0, le=(MOST_ROUND << 2) | 3)]


class Claim(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, gc=False):
    """That a life of a member is in a state; `mark` holds the round (refutations so far) and the state.

    Life 0 stands for one that was never heard of.  `by` is who saw it, or the member itself.
    """

    member: Member
    life: Life
    mark: Mark
    by: Member

    @staticmethod
    def of(member: int, life: int, state: State, round_: int, by: int) -> Claim:
        return Claim(member, life, (round_ << 2) | state, by)

    @property
    def state(self) -> State:
        return State(self.mark & 3)

    @property
    def round(self) -> int:
        return self.mark >> 2

    @property
    def key(self) -> tuple[int, int, int]:
        """Claims of one member are ordered by it: a later life, its end, a later round, a suspicion."""
        state = self.mark & 3
        return (self.life, state, 0) if state >= State.DEAD else (self.life, 0, self.mark)


class Message(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """One datagram."""

    version: Annotated[int, msgspec.Meta(ge=VERSION, le=VERSION)]
    tier: Annotated[int, msgspec.Meta(ge=0, le=MOST_LIFE)]
    sender: Member
    life: Annotated[int, msgspec.Meta(ge=1, le=LAST_LIFE)]
    kind: Kind
    question: Annotated[int, msgspec.Meta(ge=0, le=MOST_QUESTION)]
    target: Annotated[int, msgspec.Meta(ge=NOBODY, lt=MOST_MEMBERS)]
    digest: Annotated[int, msgspec.Meta(ge=0, le=MOST_LIFE)]
    sketch_from: Member  # the member that the sketch begins with
    sketch: Annotated[bytes, msgspec.Meta(max_length=MOST_SKETCHED // 2)]  # see Table.sketch
    claims: Annotated[list[Claim], msgspec.Meta(max_length=_MOST_CLAIMS)]


class _Head(msgspec.Struct, array_like=True):
    """What every version begins with."""

    version: int
    tier: int


class Unfit(Exception):
    """A datagram that is not taken; the text is the reason that it is counted under."""


_DECODER = msgspec.msgpack.Decoder(Message)
_HEAD = msgspec.msgpack.Decoder(_Head)
_ENCODER = msgspec.msgpack.Encoder()


def tier_number(name: str) -> int:
    """One number for a tier by its name, so that a datagram from another is known for one."""
    return crc32(name.encode())


def read(data: bytes, tier: int, sender: int) -> Message:
    """Read what came from `sender` (by its address); raise Unfit on anything that is not of this form."""
    if len(data) > MOST_BYTES:
        raise Unfit("too long")
    try:
        message = _DECODER.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError):
        raise Unfit(_why(data)) from None
    if message.tier != tier:
        raise Unfit("another tier")
    if message.sender != sender:
        raise Unfit("another's number")
    return message


def _why(data: bytes) -> str:
    try:
        head = _HEAD.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return "malformed"
    return "malformed" if head.version == VERSION else "another version"


def write(message: Message) -> bytes:
    """The bytes of a message; its claims have to fit, see `Room`."""
    return _ENCODER.encode(message)


def _size(number: int) -> int:
    """How many bytes MessagePack makes of a whole number."""
    return 1 if number < 0x80 else 2 if number < 0x100 else 3 if number < 0x1_0000 else 5


class Room:
    """How many claims a message still holds."""

    def __init__(self, message: Message) -> None:
        # An array of over 15 entries has a header of three bytes in place of one.
        self._left = MOST_BYTES - len(_ENCODER.encode(message)) - 2
        self._claims = message.claims

    def add(self, claim: Claim) -> bool:
        """Put a claim into the message; no if it does not fit."""
        size = 1 + sum(map(_size, (claim.member, claim.life, claim.mark, claim.by)))
        if size > self._left or len(self._claims) >= _MOST_CLAIMS:
            return False
        self._left -= size
        self._claims.append(claim)
        return True
