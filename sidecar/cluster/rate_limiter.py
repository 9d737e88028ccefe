"""A token bucket that is filled at a constant rate and by each client request."""

from __future__ import annotations

import math

_DEFAULT_CAPACITY_S = 6.0
# Replies may overdraw the bucket by this many tokens, because a member that does not reply is suspected.
_REPLY_OVERDRAFT = 16.0
_REQUEST_DECAY_US = 5_000_000  # time constant of the average over recent requests


class RateLimiter:
    """Limits the rate of datagrams or log lines.  All times are microseconds."""

    def __init__(
        self, now: int, per_s: float, per_request: float, capacity_s: float = _DEFAULT_CAPACITY_S
    ) -> None:
        """Create a full bucket, which holds the tokens of `capacity_s` seconds."""
        self.per_s, self.per_request = per_s, per_request
        self._capacity_s = capacity_s
        self._tokens = per_s * capacity_s
        self._filled_at = now
        self._recent_requests = 0.0  # decays exponentially

    def add_requests(self, now: int, requests: int) -> None:
        """Add the tokens of this many client requests."""
        self._refill(now)
        self._recent_requests += requests
        self._tokens = min(self._tokens + requests * self.per_request, self._capacity())

    def rate_per_s(self, now: int) -> float:
        """Return the current fill rate in tokens per second."""
        self._refill(now)
        return self.per_s + self.per_request * self._recent_requests / (_REQUEST_DECAY_US / 1e6)

    def try_acquire(self, now: int, *, is_reply: bool = False) -> bool:
        """Take one token; return False if there is none."""
        self._refill(now)
        if self._tokens - 1 < (-_REPLY_OVERDRAFT if is_reply else 0.0):
            return False
        self._tokens -= 1
        return True

    def _capacity(self) -> float:
        return self.per_s * self._capacity_s + self.per_request * self._recent_requests

    def _refill(self, now: int) -> None:
        if now > self._filled_at:
            elapsed_us = now - self._filled_at
            self._recent_requests *= math.exp(-elapsed_us / _REQUEST_DECAY_US)
            self._tokens = min(self._tokens + self.per_s * elapsed_us / 1e6, self._capacity())
            self._filled_at = now
