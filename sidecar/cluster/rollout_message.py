"""Encoding of rollout datagrams as MessagePack arrays, with a format version other than membership's.

A message is [2, cluster, sender, kind, version, round number, age of the round, first reported by, minimum
digest, maximum digest, chunk, members with the version in force, members behind].  Releases without rollout
drop it as a membership datagram of another format version (`sidecar.cluster.message`).
"""

from __future__ import annotations

from enum import IntEnum, unique
from typing import Annotated

import msgspec

from sidecar.cluster.aggregation import NO_DIGESTS, AggregationRound
from sidecar.cluster.limits import MAX_CONFIGURATION_VERSION, MAX_DATAGRAM_BYTES
from sidecar.cluster.member_set import CHUNK_BYTES, chunk_of, decode_chunk
from sidecar.cluster.message import MAX_MEMBERS, MAX_UINT32, DropReason, InvalidDatagramError, MemberNumber

FORMAT_VERSION = 2
_FORMAT_VERSION_BYTE = bytes([FORMAT_VERSION])
MAX_ROUND_NUMBER = MAX_UINT32
MAX_ROUND_AGE = 0xFFFF  # tenths of seconds
_ROUND_AGE_UNIT_US = 100_000
_MAX_CHUNK = chunk_of(MAX_MEMBERS - 1)
_ARRAY_HEADER = 0x90  # of a MessagePack array of up to 15 entries; the low four bits hold its length
_ARRAY_HEADER_MASK = 0xF0


@unique
class ExchangeKind(IntEnum):
    """Whether the sender asks for a reply."""

    PUSH = 0
    PUSH_PULL = 1  # the receiver replies with what the sender lacks


Uint32 = Annotated[int, msgspec.Meta(ge=0, le=MAX_UINT32)]
Chunk = Annotated[bytes, msgspec.Meta(max_length=CHUNK_BYTES)]


class RolloutMessage(msgspec.Struct, array_like=True, forbid_unknown_fields=True, gc=False):
    """One datagram; the order of the fields is the order on the wire."""

    format_version: Annotated[int, msgspec.Meta(ge=FORMAT_VERSION, le=FORMAT_VERSION)]
    cluster: Uint32
    sender: MemberNumber
    kind: ExchangeKind
    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_CONFIGURATION_VERSION)]
    round_number: Annotated[int, msgspec.Meta(ge=1, le=MAX_ROUND_NUMBER)]
    round_age: Annotated[int, msgspec.Meta(ge=0, le=MAX_ROUND_AGE)]
    first_reported_by: MemberNumber
    min_digest: Uint32
    max_digest: Uint32
    chunk: Annotated[int, msgspec.Meta(ge=0, le=_MAX_CHUNK)]
    in_force: Chunk
    behind: Chunk

    def aggregation_round(self, now: int) -> AggregationRound:
        """Return the round in this message, with the members of its chunk only; `now` in microseconds."""
        return AggregationRound(
            self.version,
            self.round_number,
            self.first_reported_by,
            now - self.round_age * _ROUND_AGE_UNIT_US,
            self.min_digest,
            self.max_digest,
            decode_chunk(self.in_force, self.chunk),
            decode_chunk(self.behind, self.chunk),
        )


_DECODER = msgspec.msgpack.Decoder(RolloutMessage)
_ENCODER = msgspec.msgpack.Encoder()


def is_rollout_message(payload: bytes) -> bool:
    """Return whether a datagram begins like a rollout message; all others belong to membership."""
    if payload[1:2] != _FORMAT_VERSION_BYTE:
        return False
    return payload[0] & _ARRAY_HEADER_MASK == _ARRAY_HEADER


def decode(payload: bytes, cluster: int, sender: int) -> RolloutMessage:
    """Decode a datagram that came from the address of `sender`.

    Raises:
        InvalidDatagramError: if its form, cluster or sender is wrong.
    """
    if len(payload) > MAX_DATAGRAM_BYTES:
        raise InvalidDatagramError(DropReason.TOO_LONG)
    try:
        message = _DECODER.decode(payload)
    except (msgspec.DecodeError, ValueError, RecursionError):
        raise InvalidDatagramError(DropReason.MALFORMED) from None
    if message.cluster != cluster:
        raise InvalidDatagramError(DropReason.OTHER_CLUSTER)
    if message.sender != sender:
        raise InvalidDatagramError(DropReason.WRONG_SENDER)
    digests = (message.min_digest, message.max_digest)
    if message.min_digest > message.max_digest and digests != NO_DIGESTS:
        raise InvalidDatagramError(DropReason.MALFORMED)
    if message.in_force.endswith(b"\0") or message.behind.endswith(b"\0"):
        raise InvalidDatagramError(DropReason.MALFORMED)
    return message


def encode(
    cluster: int, sender: int, kind: ExchangeKind, round_: AggregationRound, chunk: int, now: int
) -> bytes:
    """Encode one chunk of a round as a datagram; `now` in microseconds."""
    age = (now - round_.started_at) // _ROUND_AGE_UNIT_US
    in_force, behind = round_.chunk(chunk)
    return _ENCODER.encode(
        RolloutMessage(
            FORMAT_VERSION,
            cluster,
            sender,
            kind,
            round_.version,
            round_.number,
            min(max(age, 0), MAX_ROUND_AGE),
            round_.first_reported_by,
            round_.min_digest,
            round_.max_digest,
            chunk,
            in_force,
            behind,
        )
    )
