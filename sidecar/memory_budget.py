"""Limits on the memory that is held for peers, each for all requests together."""

from __future__ import annotations

from sidecar.http import RequestHead

HEADER_FIELD_BYTES = 140  # of a parsed field beside its text: a tuple, two bytes objects, places in lists

_REQUEST_FRACTION = 1 / 5  # of the process's memory, for heads and buffered bodies
_UPLOAD_FRACTION = 1 / 16  # of the process's memory, for streamed bodies that servers have not taken


def request_memory_limit(memory_mb: int) -> int:
    """Return the limit on heads and buffered bodies, in bytes."""
    return int((memory_mb << 20) * _REQUEST_FRACTION)


def upload_memory_limit(memory_mb: int) -> int:
    """Return the limit on the parts of streamed bodies that wait for their servers, in bytes."""
    return int((memory_mb << 20) * _UPLOAD_FRACTION)


def head_memory(head: RequestHead) -> int:
    """Return about how many bytes a parsed head holds."""
    text_bytes = sum(len(name) + len(value) for name, value in head.headers)
    return HEADER_FIELD_BYTES * len(head.headers) + text_bytes + len(head.target)


class MemoryBudget:
    """Counts the bytes that are held for one purpose, against a limit."""

    __slots__ = ("_limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.used_bytes = 0

    def hold(self, count: int) -> None:
        """Count more bytes."""
        self.used_bytes += count

    def release(self, count: int) -> None:
        """Stop counting bytes that are no longer held."""
        self.used_bytes -= count

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the limit allows."""
        return self.used_bytes > self._limit_bytes


class MemoryCharge:
    """The bytes that one request counts in a budget."""

    __slots__ = ("_budget", "held_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.held_bytes = 0

    def hold(self, count: int) -> None:
        """Count more bytes."""
        self.held_bytes += count
        self._budget.hold(count)

    def release(self) -> None:
        """Stop counting all bytes, as they are no longer held."""
        self._budget.release(self.held_bytes)
        self.held_bytes = 0
