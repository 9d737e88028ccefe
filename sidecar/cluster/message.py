"""Membership datagrams as bytes: MessagePack arrays of small integers, decoded strictly.

A message is [format version, cluster, sender, incarnation, kind, sequence number, target, digest, first
member of the sketch, sketch, updates]; an update is [member, incarnation, status, reported by].  A datagram
that does not fit this form in every point is rejected completely, with the reason that it is counted under.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum, unique
from typing import Annotated
from zlib import crc32

import msgspec

from sidecar.cluster.limits import MAX_DATAGRAM_BYTES

FORMAT_VERSION = 1
MAX_UINT32 = 0xFFFF_FFFF
MAX_INCARNATION = MAX_UINT32 - 0x1_0000  # a greater one would leave no room for later incarnations
MAX_REFUTATIONS = 0x3FF
MAX_MEMBERS = 0x1_0000
MAX_SEQUENCE_NUMBER = 0xFFFF
NO_TARGET = -1
MAX_SKETCH_MEMBERS = 200  # half a byte each
_MAX_UPDATES = 64  # far more than fit into one datagram
_STATE_MASK = 0b11
_STATE_BITS = 2
_ARRAY_HEADER_GROWTH_BYTES = 2  # the header of an array of more than 15 entries is so much longer


@unique
class MemberState(IntEnum):
    """What is believed of one incarnation of a member."""

    PRESENT = 0
    SUSPECTED = 1
    DEAD = 2  # declared so by another member
    LEFT = 3  # announced by the member itself


_STATES = tuple(MemberState)  # indexed by value


@unique
class MessageKind(IntEnum):
    """What a message asks for or answers."""

    PING = 0
    ACK = 1  # of a ping; with a `target`, a relay's word that the target answered
    PING_REQUEST = 2  # ping the `target` on behalf of the sender
    NACK = 3  # a relay's word that it is present, but the target has not answered it
    LEAVE = 4  # the sender's incarnation ends as planned


@unique
class DropReason(StrEnum):
    """Why a datagram, or an update in it, was not taken; the values are keys of the metrics."""

    UNKNOWN_SENDER = "a stranger"
    TOO_LONG = "too long"
    MALFORMED = "malformed"
    OTHER_FORMAT_VERSION = "another version"
    OTHER_CLUSTER = "another tier"
    WRONG_SENDER = "another's number"
    UNKNOWN_MEMBER = "unknown member"
    TOO_OLD = "too old"


MemberNumber = Annotated[int, msgspec.Meta(ge=0, lt=MAX_MEMBERS)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, le=MAX_INCARNATION)]
Status = Annotated[int, msgspec.Meta(ge=0, le=(MAX_REFUTATIONS << _STATE_BITS) | _STATE_MASK)]


class MembershipUpdate(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, gc=False):
    """That an incarnation of a member is in a state.

    `status` holds the number of refutations so far and the state.  Incarnation 0 stands for a member that was
    never heard of.  `reported_by` is the member that saw it, or the member itself.
    """

    member: MemberNumber
    incarnation: Incarnation
    status: Status
    reported_by: MemberNumber

    @staticmethod
    def create(
        member: int, incarnation: int, state: MemberState, refutations: int, reported_by: int
    ) -> MembershipUpdate:
        """Make an update from its parts; state and refutations share one field."""
        return MembershipUpdate(member, incarnation, (refutations << _STATE_BITS) | state, reported_by)

    @property
    def state(self) -> MemberState:
        """The state of the member."""
        return _STATES[self.status & _STATE_MASK]

    @property
    def refutations(self) -> int:
        """How many suspicions this incarnation has refuted."""
        return self.status >> _STATE_BITS

    @property
    def is_unknown(self) -> bool:
        """Whether no incarnation of the member was ever heard of."""
        return self.incarnation == 0 and self.state is MemberState.PRESENT

    @property
    def has_ended(self) -> bool:
        """Whether the incarnation is dead or has left."""
        return self.status & _STATE_MASK >= MemberState.DEAD

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Total order of the updates of one member, of which the greatest is believed.

        A later incarnation takes precedence, then its end, then a later refutation, then a suspicion.
        """
        state = self.status & _STATE_MASK
        if state >= MemberState.DEAD:
            return (self.incarnation, state, 0)
        return (self.incarnation, 0, self.status)


class Message(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """One datagram; the order of the fields is the order on the wire."""

    format_version: Annotated[int, msgspec.Meta(ge=FORMAT_VERSION, le=FORMAT_VERSION)]
    cluster: Annotated[int, msgspec.Meta(ge=0, le=MAX_UINT32)]
    sender: MemberNumber
    incarnation: Annotated[int, msgspec.Meta(ge=1, le=MAX_INCARNATION)]
    kind: MessageKind
    sequence_number: Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE_NUMBER)]
    target: Annotated[int, msgspec.Meta(ge=NO_TARGET, lt=MAX_MEMBERS)]
    digest: Annotated[int, msgspec.Meta(ge=0, le=MAX_UINT32)]
    sketch_first: MemberNumber
    sketch: Annotated[bytes, msgspec.Meta(max_length=MAX_SKETCH_MEMBERS // 2)]  # see `anti_entropy`
    updates: Annotated[list[MembershipUpdate], msgspec.Meta(max_length=_MAX_UPDATES)]


class _Head(msgspec.Struct, array_like=True):
    """What every format version begins with."""

    format_version: int
    cluster: int


class InvalidDatagramError(Exception):
    """A datagram that is not taken."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


_DECODER = msgspec.msgpack.Decoder(Message)
_HEAD_DECODER = msgspec.msgpack.Decoder(_Head)
_ENCODER = msgspec.msgpack.Encoder()


def cluster_id(name: str) -> int:
    """The number of a cluster by its name, which tells its datagrams from those of other clusters."""
    return crc32(name.encode())


def decode(data: bytes, cluster: int, sender: int) -> Message:
    """Decode what came from the address of `sender`; raise InvalidDatagramError on any other form."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise InvalidDatagramError(DropReason.TOO_LONG)
    try:
        message = _DECODER.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError):
        raise InvalidDatagramError(_decode_failure(data)) from None
    if message.cluster != cluster:
        raise InvalidDatagramError(DropReason.OTHER_CLUSTER)
    if message.sender != sender:
        raise InvalidDatagramError(DropReason.WRONG_SENDER)
    return message


def _decode_failure(data: bytes) -> DropReason:
    try:
        head = _HEAD_DECODER.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return DropReason.MALFORMED
    if head.format_version == FORMAT_VERSION:
        return DropReason.MALFORMED
    return DropReason.OTHER_FORMAT_VERSION


def encode(message: Message) -> bytes:
    """The bytes of a message; its updates have to fit, see `UpdatePacker`."""
    return _ENCODER.encode(message)


def _integer_size_bytes(number: int) -> int:
    """How many bytes MessagePack needs for a non-negative integer."""
    if number < 0x80:
        return 1
    if number < 0x100:
        return 2
    return 3 if number < 0x1_0000 else 5


class UpdatePacker:
    """Adds updates to a message as long as the datagram does not become too long."""

    def __init__(self, message: Message) -> None:
        used_bytes = len(_ENCODER.encode(message)) + _ARRAY_HEADER_GROWTH_BYTES
        self._free_bytes = MAX_DATAGRAM_BYTES - used_bytes
        self._updates = message.updates

    def try_add(self, update: MembershipUpdate) -> bool:
        """Add an update; return False if it does not fit."""
        numbers = (update.member, update.incarnation, update.status, update.reported_by)
        size_bytes = 1 + sum(map(_integer_size_bytes, numbers))
        if size_bytes > self._free_bytes or len(self._updates) >= _MAX_UPDATES:
            return False
        self._free_bytes -= size_bytes
        self._updates.append(update)
        return True
