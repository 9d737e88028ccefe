"""Detection of stale idle connections.

A network device between sidecar and server may drop idle connections without notice: a request sent on such a
connection gets no response, although neither the server nor the fleet has failed.  The same detection covers
servers that close idle connections early.
"""

from __future__ import annotations

import math

from balancer.actions import CloseIdleConnections
from balancer.context import DecisionContext
from balancer.endpoints import Endpoint
from balancer.requests import Attempt

# A connection unused for a shorter time is assumed to work; in multiples of the longest latency objective.
MIN_IDLE_OBJECTIVES = 0.25
# How far one missing response on an idle connection moves the stale probability towards 1.
STALE_STEP = 0.5
# How far a response on an idle connection moves it towards 0.  Less than STALE_STEP, because some servers may
# keep connections that others drop.
ALIVE_STEP = 0.3
# Time constant of the decay of the stale probability, in multiples of the longest latency objective.
DECAY_OBJECTIVES = 16.0
# At this stale probability or more, idle connections are closed instead of reused.
MAX_STALE_PROBABILITY = 0.25


class ConnectionReuse:
    """Estimates the probability that an idle connection is stale, from responses and missing responses."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._stale_probability = 0.0  # as of `_updated_at`
        self._updated_at = 0
        self._min_stale_idle_us = 0  # the shortest idle time at which a connection was stale

    def use_connection(self, endpoint: Endpoint) -> int:
        """Return the idle time (us) of the connection that an attempt will reuse.

        0 means that the attempt opens a new connection or reuses one in steady use.  A connection that is
        likely to be stale is closed first, at the cost of a handshake.
        """
        idle_since, endpoint.idle_since = endpoint.idle_since, None
        idle_us = 0 if idle_since is None else self._context.now - idle_since
        if idle_us < MIN_IDLE_OBJECTIVES * self._context.longest_objective_us:
            return 0
        if idle_us >= self._context.settings.limits.idle_timeout_us:
            return 0
        if self._decayed_probability() >= MAX_STALE_PROBABILITY and 2 * idle_us >= self._min_stale_idle_us:
            self._context.actions.append(CloseIdleConnections(endpoint.name))
            return 0
        return idle_us

    def record_silence(self, attempt: Attempt) -> bool:
        """Learn from an attempt without a response; return whether a stale connection may be the cause."""
        if attempt.is_silence_recorded:
            return attempt.is_blamed_on_stale_connection
        attempt.is_silence_recorded = True
        probability = self._decayed_probability()
        if not attempt.idle_us:
            # The connection was in steady use, so the server is silent.
            self._stale_probability = probability * (1.0 - STALE_STEP)
            return False
        if probability < MAX_STALE_PROBABILITY or attempt.idle_us < self._min_stale_idle_us:
            self._min_stale_idle_us = attempt.idle_us
        self._stale_probability = probability + STALE_STEP * (1.0 - probability)
        self._context.actions.append(CloseIdleConnections(attempt.endpoint.name))
        attempt.endpoint.idle_since = None
        return True

    def record_response(self, attempt: Attempt) -> None:
        """Learn from a response, and note that its connection is idle from now on."""
        attempt.endpoint.idle_since = self._context.now
        if attempt.is_silence_recorded:
            self._stale_probability = 0.0  # the response came late: the connection works
        elif attempt.idle_us and attempt.idle_us >= self._min_stale_idle_us:
            self._stale_probability = self._decayed_probability() * (1.0 - ALIVE_STEP)

    def _decayed_probability(self) -> float:
        """Return the stale probability, decayed up to the current time."""
        now = self._context.now
        span_us = DECAY_OBJECTIVES * self._context.longest_objective_us
        self._stale_probability *= math.exp((self._updated_at - now) / span_us)
        self._updated_at = now
        return self._stale_probability
