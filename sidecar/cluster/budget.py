"""How many datagrams may be sent: so many a second at rest, and some for each request taken."""

from __future__ import annotations

import math

_SAVED_S = 6.0  # what rest leaves unused may be saved up for so long
_OWED = 16.0  # answers may run ahead of it by so many: who is not answered is suspected
_OVER_US = 5_000_000  # the rate of requests is averaged over this


class Budget:
    """An allowance that fills with time and with requests."""

    def __init__(self, now: int, per_s: float, per_request: float) -> None:
        self.per_s, self.per_request = per_s, per_request
        self._left = per_s * _SAVED_S
        self._at = now
        self._requests = 0.0  # a fading count

    def worked(self, now: int, requests: int) -> None:
        """So many requests were taken."""
        self._fill(now)
        self._requests += requests
        self._left = min(self._left + requests * self.per_request, self._most())

    def rate(self, now: int) -> float:
        """Datagrams a second that it fills by, as of late."""
        self._fill(now)
        return self.per_s + self.per_request * self._requests / (_OVER_US / 1e6)

    def spend(self, now: int, count: int, owed: bool = False) -> bool:
        """Take so many datagrams from it; no if it has too little.  `owed`: they answer somebody."""
        self._fill(now)
        if self._left - count < (-_OWED if owed else 0.0):
            return False
        self._left -= count
        return True

    def _most(self) -> float:
        return self.per_s * _SAVED_S + self.per_request * self._requests

    def _fill(self, now: int) -> None:
        if now > self._at:
            passed = now - self._at
            self._requests *= math.exp(-passed / _OVER_US)
            self._left = min(self._left + self.per_s * passed / 1e6, self._most())
            self._at = now
