"""Counters and gauges for operators, counted from 0 at the start of the process.

The names of the metrics are fixed: operators and their tools read them.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, unique

_REJECTION_STATUSES = (429, 503)  # clients take both for a rejection, whoever sent it


@unique
class RequestResult(Enum):
    """How a request ended; the value is the metric's name."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    FAILED = "failed"

    @classmethod
    def of_status(cls, status: int) -> RequestResult:
        """Return the result that the status of a final response stands for."""
        if status == 200:
            return cls.COMPLETED
        return cls.REJECTED if status in _REJECTION_STATUSES else cls.FAILED


class Metrics:
    """Counts final responses by service class, and attempts."""

    def __init__(self, service_classes: Iterable[str]) -> None:
        self._responses = {name: dict.fromkeys(RequestResult, 0) for name in service_classes}
        self._attempts = 0

    def response_sent(self, service_class: str, status: int) -> None:
        """Count the final response to a request of this class."""
        self._responses[service_class][RequestResult.of_status(status)] += 1

    def attempt_sent(self) -> None:
        """Count an attempt whose last byte was written to a server."""
        self._attempts += 1

    def snapshot(self, pending: int, members: int, unavailable: int) -> dict[str, object]:
        """Return all metrics under their names.

        `pending` requests have no final response yet; `members` is the length of the endpoint list, of which
        `unavailable` get no requests.
        """
        return {
            "downstream_requests": {
                name: {result.value: count for result, count in counts.items()}
                for name, counts in self._responses.items()
            },
            "upstream_requests": self._attempts,
            "pending": pending,
            "members": members,
            "members_unavailable": unavailable,
        }
