"""Schedules reads of the configuration file while another member has a newer version."""

from __future__ import annotations

from sidecar.cluster.rollout_state import RolloutState

_FIRST_INTERVAL_US = 250_000  # between the first two reads; doubled after each read ...
_MAX_INTERVAL_US = 4_000_000  # ... up to this
_MISSING_AFTER_US = 60_000_000  # the version is reported missing from the file, ...
_MISSING_INTERVAL_US = 60_000_000  # ... and the file is read at this interval


class ConfigurationFileChecks:
    """The schedule of the file reads of one member.  All times are microseconds."""

    def __init__(self, state: RolloutState, now: int) -> None:
        self._state = state
        self.next_at: int | None = None  # None: no read is scheduled, as the newest version is in force here
        self._last_at = now - _FIRST_INTERVAL_US
        self._interval_us = _FIRST_INTERVAL_US
        self._is_missing = False

    def start(self, now: int) -> None:
        """Schedule the first read for a newer version, at a random time to spread the members' reads."""
        self._is_missing = False
        self._interval_us = _FIRST_INTERVAL_US
        spread_us = int(self._state.settings.file_read_spread_s * 1e6 * self._state.random.random())
        self.next_at = max(now + spread_us, self._last_at + _FIRST_INTERVAL_US)

    def stop(self) -> None:
        """Schedule no more reads, because the newest version is in force here."""
        self.next_at = None

    def is_due(self, now: int) -> bool:
        """Return whether the file is to be read now."""
        return self.next_at is not None and self.next_at <= now

    def mark_missing_if_due(self, now: int) -> bool:
        """Mark the version as missing when it is overdue; return True only at the first call that does."""
        if self._is_missing or now - self._state.newest_received_at < _MISSING_AFTER_US:
            return False
        self._is_missing = True
        return True

    def checked(self, now: int) -> None:
        """Schedule the next read after one at `now`, at a growing interval."""
        self._last_at = now
        interval_us = _MISSING_INTERVAL_US if self._is_missing else self._interval_us
        self.next_at = now + self._state.jittered(interval_us)
        self._interval_us = min(2 * self._interval_us, _MAX_INTERVAL_US)
