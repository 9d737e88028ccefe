"""Whether idle connections can be relied on.

Something on the way may drop idle connections unseen: what is sent on one gets no response, and neither the
server nor the fleet is at fault.  The same covers servers that close idle connections early.
"""

from __future__ import annotations

import math

from balancer.actions import CloseIdleConnections
from balancer.context import DecisionContext
from balancer.endpoints import Endpoint
from balancer.requests import Attempt

# A connection unused for less than this part of the longest latency objective is taken to be alive.
MIN_IDLE_OBJECTIVES = 0.25
# How far one missing response on an idle connection moves the probability towards 1.
STALE_STEP = 0.5
# How far a response on one moves it towards 0: some servers may keep connections that others drop.
ALIVE_STEP = 0.3
# The probability decays over this many of the longest latency objective.
DECAY_OBJECTIVES = 16.0
# From this probability on, idle connections are closed instead of reused.
MAX_STALE_PROBABILITY = 0.25


class ConnectionReuse:
    """The probability that an idle connection is stale, learnt from responses and their absence."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._stale_probability = 0.0  # as of `_updated_at`
        self._updated_at = 0
        self._min_stale_idle_us = 0  # the shortest idle time at which a connection was stale

    def use_connection(self, endpoint: Endpoint) -> int:
        """Return how long (us) the connection that an attempt would reuse has been idle; 0 if hardly.

        A connection that is likely to be stale is closed first, at the cost of a handshake.
        """
        since, endpoint.idle_since = endpoint.idle_since, None
        idle_us = 0 if since is None else self._context.now - since
        if idle_us < MIN_IDLE_OBJECTIVES * self._context.longest_objective_us:
            return 0
        if idle_us >= self._context.settings.limits.idle_timeout_us:
            return 0
        if self._probability() >= MAX_STALE_PROBABILITY and 2 * idle_us >= self._min_stale_idle_us:
            self._context.actions.append(CloseIdleConnections(endpoint.name))
            return 0
        return idle_us

    def record_silence(self, attempt: Attempt) -> bool:
        """Learn from an attempt without a response; return whether an idle connection may be to blame."""
        if attempt.is_silence_recorded:
            return attempt.is_blamed_on_idle_connection
        attempt.is_silence_recorded = True
        probability = self._probability()
        if not attempt.idle_us:
            self._stale_probability = probability * (1.0 - STALE_STEP)  # silent on a live connection
            return False
        if probability < MAX_STALE_PROBABILITY or attempt.idle_us < self._min_stale_idle_us:
            self._min_stale_idle_us = attempt.idle_us
        self._stale_probability = probability + STALE_STEP * (1.0 - probability)
        self._context.actions.append(CloseIdleConnections(attempt.endpoint.name))
        attempt.endpoint.idle_since = None
        return True

    def record_response(self, attempt: Attempt) -> None:
        """Learn from a response; its connection is idle from now on."""
        attempt.endpoint.idle_since = self._context.now
        if attempt.is_silence_recorded:
            self._stale_probability = 0.0  # the server was slow, the connection alive
        elif attempt.idle_us and attempt.idle_us >= self._min_stale_idle_us:
            self._stale_probability = self._probability() * (1.0 - ALIVE_STEP)

    def _probability(self) -> float:
        now = self._context.now
        span_us = DECAY_OBJECTIVES * self._context.longest_objective_us
        self._stale_probability *= math.exp((self._updated_at - now) / span_us)
        self._updated_at = now
        return self._stale_probability
