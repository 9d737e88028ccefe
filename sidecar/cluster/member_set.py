"""Sets of members as the bits of an integer, and their encoding in chunks that fit into a datagram."""

from __future__ import annotations

CHUNK_MEMBERS = 800  # 100 bytes for each set in a datagram
CHUNK_BYTES = CHUNK_MEMBERS // 8


def member_bit(member: int) -> int:
    """Return the set that holds only this member."""
    return 1 << member


def first_members(members: int, limit: int) -> list[int]:
    """Return the members of a set with the lowest numbers, at most `limit`, in ascending order."""
    numbers: list[int] = []
    while members and len(numbers) < limit:
        lowest_bit = members & -members
        numbers.append(lowest_bit.bit_length() - 1)
        members ^= lowest_bit
    return numbers


def chunk_of(member: int) -> int:
    """Return the number of the chunk that holds a member."""
    return member // CHUNK_MEMBERS


def chunk_count(size: int) -> int:
    """Return the number of chunks for a cluster of this size."""
    return (size + CHUNK_MEMBERS - 1) // CHUNK_MEMBERS


def encode_chunk(members: int, chunk: int) -> bytes:
    """Return one chunk of a set as a little-endian bit map without trailing zero bytes."""
    bits = (members >> (CHUNK_MEMBERS * chunk)) & ((1 << CHUNK_MEMBERS) - 1)
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")


def decode_chunk(data: bytes, chunk: int) -> int:
    """Return the set of members in an encoded chunk."""
    return int.from_bytes(data, "little") << (CHUNK_MEMBERS * chunk)
