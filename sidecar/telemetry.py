"""The figures that operators see.  Each is counted in one place, from 0 at the start of the process."""

from __future__ import annotations

from collections.abc import Iterable

COMPLETED, REJECTED, FAILED = "completed", "rejected", "failed"
_REFUSALS = (429, 503)  # whoever words it, the client takes these for refusals


class Telemetry:
    """Counts final answers by class, and attempts."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._answers = {name: {COMPLETED: 0, REJECTED: 0, FAILED: 0} for name in classes}
        self._attempts = 0

    def answered(self, service_class: str, status: int) -> None:
        """A request of this class got its final answer."""
        how = COMPLETED if status == 200 else REJECTED if status in _REFUSALS else FAILED
        self._answers[service_class][how] += 1

    def attempted(self) -> None:
        """The last byte of an attempt was written to a server."""
        self._attempts += 1

    def figures(self, pending: int, members: int, unavailable: int) -> dict[str, object]:
        return {
            "downstream_requests": self._answers,
            "upstream_requests": self._attempts,
            "pending": pending,
            "members": members,
            "members_unavailable": unavailable,
        }
