"""Limits on the memory that is held for peers, each for all requests together."""

from __future__ import annotations

from sidecar.http import Headers, RequestHead

HEADER_FIELD_BYTES = 140  # of a parsed field beside its text: a tuple, two bytes objects, places in lists


def headers_memory(headers: Headers) -> int:
    """Return about how many bytes the parsed fields of a head hold."""
    text_bytes = sum(len(name) + len(value) for name, value in headers)
    return HEADER_FIELD_BYTES * len(headers) + text_bytes


def head_memory(head: RequestHead) -> int:
    """Return about how many bytes a request's parsed head holds."""
    return headers_memory(head.headers) + len(head.target)


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
    """The bytes that one request or response counts in a budget."""

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
