"""Counters and gauges for operators; the counters start at 0 with the process.

Operators' tools depend on the names of the metrics, so these must not change.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, unique

REJECTION_STATUSES = (429, 503)  # clients treat both as rejections, also if a server sent them


@unique
class RequestResult(Enum):
    """The result of a request; the value is the name of its counter."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    FAILED = "failed"

    @classmethod
    def of_status(cls, status: int) -> RequestResult:
        """Return the result that corresponds to the status of a final response."""
        if status == 200:
            return cls.COMPLETED
        return cls.REJECTED if status in REJECTION_STATUSES else cls.FAILED


class Metrics:
    """Counts final responses by service class and result, and attempts."""

    def __init__(self, service_classes: Iterable[str]) -> None:
        self._responses = {name: dict.fromkeys(RequestResult, 0) for name in service_classes}
        self._attempts = 0

    def response_sent(self, service_class: str, status: int) -> None:
        """Count the final response to a request of this class."""
        self._responses[service_class][RequestResult.of_status(status)] += 1

    def attempt_sent(self) -> None:
        """Count an attempt after its last byte was written to a server."""
        self._attempts += 1

    def snapshot(self, pending: int, members: int, unavailable: int) -> dict[str, object]:
        """Return all metrics by name.

        Args:
            pending: number of requests that have arrived completely and have no final response yet.
            members: number of servers in the endpoint list.
            unavailable: number of those servers that get no requests.
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
