"""Remembers the ids of requests that a server may have executed, so that none is executed again.

A request whose id comes again after its client has left would be executed twice, unless it is idempotent.
During a hot restart it may come at the other process of the sidecar, so the table is a file that both map
into their memory.  It has a fixed size: a full bucket of slots forgets the entry that expires first.
"""

from __future__ import annotations

import hashlib
import mmap
import os
import struct
from pathlib import Path

from sidecar.clock import Clock
from sidecar.log_events import EventLog, RequestIdsNotShared

_FILE_NAME = "request-ids.2"  # ends with the version of its format
_FILE_MODE = 0o600
_RETENTION_US = 30_000_000
_SLOT = struct.Struct("=QQQ")  # hash of the id, owner, monotonic time (us) at which the entry expires
_SLOTS_PER_BUCKET = 8
_BUCKETS = 1_024
_BUCKET = struct.Struct("=" + "QQQ" * _SLOTS_PER_BUCKET)
_TABLE_BYTES = _BUCKET.size * _BUCKETS
_HASH_BYTES = 8
_REQUEST_NUMBER_BITS = 40  # of an owner; the bits above them are the process id


class RequestIdTable:
    """The ids that were written to servers in the last 30 s, each with the request that it belongs to.

    Times are monotonic, as the wall clock may be stepped between the starts of two processes.
    """

    def __init__(self, clock: Clock, directory: Path | None, log: EventLog) -> None:
        """Without a `directory`, or if its file can't be used (which is logged), the table is not shared."""
        self._clock = clock
        self._process = os.getpid() << _REQUEST_NUMBER_BITS
        try:
            self._memory = _anonymous_memory() if directory is None else _shared_memory(directory)
        except (OSError, ValueError) as error:
            log(RequestIdsNotShared(str(error)))
            self._memory = _anonymous_memory()

    def claim(self, request_id: bytes, number: int) -> bool:
        """Enter the id of an open request; return False if it is that of another request.

        A request may claim its id repeatedly, for further attempts.
        """
        id_hash, bucket_at = _locate(request_id)
        owner, now = self._owner(number), self._clock.monotonic()
        bucket = _BUCKET.unpack_from(self._memory, bucket_at)
        hashes, owners = bucket[0::3], bucket[1::3]
        # Later times are left from before the system was restarted.
        expiries = [expiry if expiry <= now + _RETENTION_US else 0 for expiry in bucket[2::3]]
        slot = hashes.index(id_hash) if id_hash in hashes else expiries.index(min(expiries))
        if hashes[slot] == id_hash and expiries[slot] > now:
            return bool(owners[slot] == owner)
        slot_at = bucket_at + slot * _SLOT.size
        _SLOT.pack_into(self._memory, slot_at, id_hash, owner, now + _RETENTION_US)
        return True

    def release(self, request_id: bytes, number: int) -> None:
        """Remove an id that this process has claimed, as no server can have executed its request."""
        id_hash, bucket_at = _locate(request_id)
        for at in range(bucket_at, bucket_at + _BUCKET.size, _SLOT.size):
            entry_hash, entry_owner, _ = _SLOT.unpack_from(self._memory, at)
            if entry_hash == id_hash and entry_owner == self._owner(number):
                _SLOT.pack_into(self._memory, at, 0, 0, 0)

    def _owner(self, number: int) -> int:
        return self._process | number


def _locate(request_id: bytes) -> tuple[int, int]:
    """Return the hash of an id and the offset of its bucket."""
    id_hash = int.from_bytes(hashlib.blake2b(request_id, digest_size=_HASH_BYTES).digest(), "little")
    return id_hash, id_hash % _BUCKETS * _BUCKET.size


def _anonymous_memory() -> mmap.mmap:
    return mmap.mmap(-1, _TABLE_BYTES)


def _shared_memory(directory: Path) -> mmap.mmap:
    descriptor = os.open(directory / _FILE_NAME, os.O_CREAT | os.O_RDWR | os.O_NONBLOCK, _FILE_MODE)
    try:
        # Reserves the space: a write to a mapped page for which there is none would kill the process.
        os.posix_fallocate(descriptor, 0, _TABLE_BYTES)
        return mmap.mmap(descriptor, _TABLE_BYTES)
    finally:
        os.close(descriptor)
