"""Encoding of membership datagrams as MessagePack arrays.

A message is [format version, cluster, sender, incarnation, kind, sequence number, target, digest, first
member of the sketch, sketch, updates]; an update is [member, incarnation, status, reported by].  A datagram
that deviates from this form in any field is dropped as a whole and counted under its `DropReason`.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum, unique
from typing import Annotated
from zlib import crc32

import msgspec

from sidecar.cluster.limits import MAX_DATAGRAM_BYTES

FORMAT_VERSION = 1
MAX_UINT32 = 0xFFFF_FFFF
MAX_INCARNATION = MAX_UINT32 - 0x1_0000  # leaves room for later incarnations
MAX_REFUTATIONS = 0x3FF
MAX_MEMBERS = 0x1_0000
MAX_SEQUENCE_NUMBER = 0xFFFF
NO_TARGET = -1
MAX_SKETCH_MEMBERS = 200  # four bits each
_MAX_UPDATES = 64  # more than fit into one datagram
_STATE_MASK = 0b11
_STATE_BITS = 2
_ARRAY_HEADER_GROWTH_BYTES = 2  # an array header is this much longer from 16 entries on


@unique
class MemberState(IntEnum):
    """The state of one incarnation of a member, as believed by the local member."""

    PRESENT = 0
    SUSPECTED = 1
    DEAD = 2  # declared dead by another member
    LEFT = 3  # ended as planned, as announced by the member itself


_STATES = tuple(MemberState)  # indexed by value


@unique
class MessageKind(IntEnum):
    """The kind of a message; PING and PING_REQUEST ask for a reply."""

    PING = 0
    ACK = 1  # acknowledges a ping; with a `target`, a relay reports that the target acknowledged its ping
    PING_REQUEST = 2  # asks a relay to ping the `target` on behalf of the sender
    NACK = 3  # a relay reports that the target has not acknowledged its ping
    LEAVE = 4  # announces that the sender's incarnation ends as planned


@unique
class DropReason(StrEnum):
    """Why a datagram, or an update in it, was dropped; the values are keys of the metrics."""

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
    """A statement that an incarnation of a member is in a state.

    `status` holds the number of refutations so far and the state.  Incarnation 0 stands for a member of which
    no incarnation is known.  `reported_by` is the member that observed the state, or the member itself.
    """

    member: MemberNumber
    incarnation: Incarnation
    status: Status
    reported_by: MemberNumber

    @staticmethod
    def create(
        member: int, incarnation: int, state: MemberState, refutations: int, reported_by: int
    ) -> MembershipUpdate:
        """Create an update; state and refutations are packed into `status`."""
        return MembershipUpdate(member, incarnation, (refutations << _STATE_BITS) | state, reported_by)

    @property
    def state(self) -> MemberState:
        """The state of the member."""
        return _STATES[self.status & _STATE_MASK]

    @property
    def refutations(self) -> int:
        """The number of suspicions that this incarnation has refuted."""
        return self.status >> _STATE_BITS

    @property
    def is_unknown(self) -> bool:
        """Whether no incarnation of the member is known."""
        return self.incarnation == 0 and self.state is MemberState.PRESENT

    @property
    def has_ended(self) -> bool:
        """Whether the incarnation is dead or has left."""
        return self.status & _STATE_MASK >= MemberState.DEAD

    @property
    def precedence(self) -> tuple[int, int, int]:
        """The sort key of the updates about one member: the greatest update is in force.

        A later incarnation comes first, then the end of an incarnation, then the number of refutations; with
        equally many refutations, suspected takes precedence over present.
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
    """The fields with which messages of every format version begin."""

    format_version: int
    cluster: int


class InvalidDatagramError(Exception):
    """A datagram that is dropped for `reason`."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


_DECODER = msgspec.msgpack.Decoder(Message)
_HEAD_DECODER = msgspec.msgpack.Decoder(_Head)
_ENCODER = msgspec.msgpack.Encoder()


def cluster_id(name: str) -> int:
    """Return the hash of a cluster's name, which marks the datagrams of that cluster."""
    return crc32(name.encode())


def decode(data: bytes, cluster: int, sender: int) -> Message:
    """Decode a datagram that came from the address of `sender`.

    Raises:
        InvalidDatagramError: if its form, cluster or sender is wrong.
    """
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
    """Encode a message; `UpdatePacker` makes sure that its updates fit into a datagram."""
    return _ENCODER.encode(message)


def _integer_size_bytes(number: int) -> int:
    """Return the number of bytes of a non-negative integer in MessagePack."""
    if number < 0x80:
        return 1
    if number < 0x100:
        return 2
    return 3 if number < 0x1_0000 else 5


class UpdatePacker:
    """Adds updates to a message as long as they fit into the datagram."""

    def __init__(self, message: Message) -> None:
        used_bytes = len(_ENCODER.encode(message)) + _ARRAY_HEADER_GROWTH_BYTES
        self._free_bytes = MAX_DATAGRAM_BYTES - used_bytes
        self._updates = message.updates

    def try_add(self, update: MembershipUpdate) -> bool:
        """Add an update; return False if it does not fit."""
        fields = (update.member, update.incarnation, update.status, update.reported_by)
        size_bytes = 1 + sum(map(_integer_size_bytes, fields))
        if size_bytes > self._free_bytes or len(self._updates) >= _MAX_UPDATES:
            return False
        self._free_bytes -= size_bytes
        self._updates.append(update)
        return True
