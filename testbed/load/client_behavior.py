"""What clients do of their own accord, in either engine: how long they wait, and when they try again."""

from __future__ import annotations

import random

from testbed.scenario.arrivals import Arrival
from testbed.scenario.scenario_run import ScenarioRun

MAX_REQUESTS_PER_ARRIVAL = (
    16  # a request's number is that of its first try times this, and the place of the try
)
REFUSED = (429, 503)
_MOST_RETRY_AFTER_US = 400_000  # the longest that a client stays away because it was told to
_LEAST_US = 1_000  # what a try has at least


class ClientBehavior:
    """The clients of one copy."""

    def __init__(self, day: ScenarioRun, rng: random.Random) -> None:
        self._day, self._rng = day, rng

    def timeout_at(self, arrival: Arrival, now: int) -> int:
        """Until when a try that begins now is waited for."""
        deadline_us = self._day.classes[arrival.service_class].deadline_us
        left_us = max(arrival.at_us + deadline_us - now, _LEAST_US)
        return now + min(round(deadline_us * self._day.clients.timeout_fraction), left_us)

    def may_retry_after(self, arrival: Arrival, status: int) -> bool:
        """Whether a try that ended so (0: without an answer) may be followed by another."""
        kind = self._day.classes[arrival.service_class]
        if status == 200:
            return False
        dropped = kind.idempotency == "idempotency_key" and kind.idempotency_scope == "all"
        return status in REFUSED or kind.idempotency == "read_like" or dropped

    def retry_delay_us(self, arrival: Arrival, place: int, after_us: int, now: int) -> int | None:
        """How long until the try after this one; None if there is none, or it would come too late."""
        clients = self._day.clients
        if place >= min(clients.max_retries, MAX_REQUESTS_PER_ARRIVAL - 1):
            return None
        chance = self._rng.uniform(0.5, 1.5)
        wait_us = round(max(clients.backoff_us * chance, min(after_us, _MOST_RETRY_AFTER_US)))
        is_late = now + wait_us >= arrival.at_us + self._day.classes[arrival.service_class].deadline_us
        return None if is_late else wait_us
