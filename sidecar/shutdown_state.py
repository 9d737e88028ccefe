"""Whether the process is shutting down, and the time by which all requests must be answered then."""

from __future__ import annotations


class ShutdownState:
    """State shared by the components that behave differently during a graceful shutdown."""

    def __init__(self) -> None:
        self._respond_by: int | None = None  # clock time in microseconds

    @property
    def is_shutting_down(self) -> bool:
        """Whether the graceful shutdown has begun."""
        return self._respond_by is not None

    def begin(self, respond_by: int) -> None:
        """Begin the shutdown; all requests must be answered by this clock time."""
        self._respond_by = respond_by

    def limit_remaining_time(self, remaining_us: int, now: int) -> int:
        """Return the remaining time of a request, limited to the end of the shutdown but at least 1 us."""
        if self._respond_by is None:
            return remaining_us
        return max(min(remaining_us, self._respond_by - now), 1)
