"""Sets of members as the bits of an integer, and their encoding in chunks that fit into a datagram."""

from __future__ import annotations

CHUNK_MEMBERS = 800  # 100 bytes for each set in a datagram
CHUNK_BYTES = CHUNK_MEMBERS // 8


def member_bit(member: int) -> int:
    """The set of this member alone."""
    return 1 << member


def first_members(members: int, limit: int) -> list[int]:
    """The least members of a set, at most `limit` of them."""
    numbers: list[int] = []
    while members and len(numbers) < limit:
        least = members & -members
        numbers.append(least.bit_length() - 1)
        members ^= least
    return numbers


def chunk_of(member: int) -> int:
    """The chunk that a member belongs to."""
    return member // CHUNK_MEMBERS


def chunk_count(size: int) -> int:
    """How many chunks a cluster of this size has."""
    return (size + CHUNK_MEMBERS - 1) // CHUNK_MEMBERS


def encode_chunk(members: int, chunk: int) -> bytes:
    """One chunk of a set as bytes, the first member lowest, without zero bytes at the end."""
    bits = (members >> (CHUNK_MEMBERS * chunk)) & ((1 << CHUNK_MEMBERS) - 1)
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")


def decode_chunk(data: bytes, chunk: int) -> int:
    """The set of the members that a chunk holds."""
    return int.from_bytes(data, "little") << (CHUNK_MEMBERS * chunk)
