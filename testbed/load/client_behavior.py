"""Client behaviour, shared by the emulator and the simulation: timeouts and retries."""

from __future__ import annotations

import random

from testbed.scenario.arrivals import Arrival
from testbed.scenario.scenario_run import ScenarioRun

# Request number = arrival number * MAX_REQUESTS_PER_ARRIVAL + retry number (0 for the first attempt).
MAX_REQUESTS_PER_ARRIVAL = 16
_RETRYABLE_STATUSES = (429, 503)
_MAX_RETRY_AFTER_US = 400_000  # upper bound on the Retry-After that clients respect
_MIN_TIMEOUT_US = 1_000


class ClientBehavior:
    """Timeouts and retries of the clients of one replica."""

    def __init__(self, run: ScenarioRun, rng: random.Random) -> None:
        self._run, self._rng = run, rng

    def timeout_at(self, arrival: Arrival, now_us: int) -> int:
        """The time in µs of the run at which the client gives up a request that starts at `now_us`."""
        deadline_us = self._run.classes[arrival.service_class].deadline_us
        remaining_us = max(arrival.at_us + deadline_us - now_us, _MIN_TIMEOUT_US)
        return now_us + min(round(deadline_us * self._run.clients.timeout_fraction), remaining_us)

    def is_retryable(self, arrival: Arrival, status: int) -> bool:
        """Whether a request that ended with this status (0: no response) may be retried.

        Rejected requests may always be retried; others only if they are safe to repeat: reads, and requests
        with an idempotency key that all servers share.
        """
        service_class = self._run.classes[arrival.service_class]
        if status == 200:
            return False
        is_deduplicated = (
            service_class.idempotency == "idempotency_key" and service_class.idempotency_scope == "all"
        )
        return status in _RETRYABLE_STATUSES or service_class.idempotency == "read_like" or is_deduplicated

    def retry_delay_us(
        self, arrival: Arrival, retry_number: int, retry_after_us: int, now_us: int
    ) -> int | None:
        """Delay in µs before the next retry; None if no retries remain or the deadline would have passed."""
        clients = self._run.clients
        if retry_number >= min(clients.max_retries, MAX_REQUESTS_PER_ARRIVAL - 1):
            return None
        jitter = self._rng.uniform(0.5, 1.5)
        wait_us = round(max(clients.backoff_us * jitter, min(retry_after_us, _MAX_RETRY_AFTER_US)))
        is_past_deadline = (
            now_us + wait_us >= arrival.at_us + self._run.classes[arrival.service_class].deadline_us
        )
        return None if is_past_deadline else wait_us
