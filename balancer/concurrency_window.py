"""The concurrency window: how many requests in flight the fleet can answer in time.

The window follows the latency ratio, the time that a response takes divided by its latency objective.  What
is bounded is requests in flight and not their rate: a surge meets the window at once, and slower servers
admit less by themselves.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from balancer.context import DecisionContext
from balancer.in_flight import InFlightTracker
from balancer.moving_average import DecayingRate

# Up to this utilization all requests are admitted, and the window does not grow.
FREE_UTILIZATION = 0.5
# A trickle is admitted at any time, so that relief is seen.
MIN_WINDOW = 0.1
# A window that holds fewer requests than this is too small for the current count to mean much.
SIGNIFICANT_WINDOW = 8.0
# At twice the allowed latency ratio the window shrinks e-fold in this many of the longest objective.
SHRINK_OBJECTIVES = 0.5
# One change of the window accounts for no more than the averaging span divided by this.
MAX_STEP_DIVISOR = 4

# The latency ratio that the typical response may have; beyond it the fleet is overloaded.
ALLOWED_RATIO = 0.3
# The same where few requests are in flight, so that much of the typical response is chance.
ALLOWED_RATIO_UNCERTAIN = 0.4
# It is never less than this many times the ratio of an idle fleet ...
ALLOWED_IDLE_MULTIPLE = 1.2
# ... and never more than this.
MAX_ALLOWED_RATIO = 0.5

# One response counts for at most this many typical ones, or for that part of one.
MAX_SAMPLE_FACTOR = 2.0
# The typical response is the geometric mean of about the last fifteen.
RATIO_STEP = 0.06
MIN_RATIO = 0.02
MAX_RATIO = 1.0
# The ratio that a response counts for which never came, or came from no server with capacity.
LOST_RATIO = 2.0

# The ratio of an idle fleet may rise by this at each response, and by less while requests are rejected.
IDLE_RATIO_RISE = 0.0008
IDLE_RATIO_RISE_PRESSED = 0.00008
MIN_IDLE_RATIO = 0.04

# A fleet is not overloaded if no more than this fraction of its responses is late.
ALLOWED_LATE_FRACTION = 0.05
LATE_STEP = 0.02

# While servers report a utilization below this, they have capacity left.
BUSY_UTILIZATION = 0.85
# From this on they are overloaded, even before responses are late.
SATURATED_UTILIZATION = 0.95
UTILIZATION_STEP = 0.1
UTILIZATION_COLUMN = "util"  # of a load report; from 0 to 1


class ConcurrencyWindow:
    """The window, in requests in flight, and the averages that it is sized by."""

    def __init__(self, context: DecisionContext, in_flight: InFlightTracker) -> None:
        self._context = context
        self._in_flight = in_flight
        self.size = math.inf
        self.latency_ratio = 0.0  # the geometric mean of recent samples
        self._late_fraction = 0.0
        self._idle_ratio: float | None = None  # the least latency ratio of late
        self._server_utilization: float | None = None  # as servers report it; None: they don't
        self._served_objectives = DecayingRate(context.longest_objective_us)
        self._has_rejected = False  # since the window was last sized
        self._sized_at = 0

    def utilization(self) -> float:
        """The part of the window that is taken.

        Where the window holds few requests, two at once are chance: then the mean counts.
        """
        certainty = min(self.size / SIGNIFICANT_WINDOW, 1.0)
        mean = self._in_flight.mean
        return (mean + certainty * (self._in_flight.total() - mean)) / self.size

    def pressure(self) -> float:
        """How full the window is beyond its free part: 0 or less if all are admitted, 1 if it is full."""
        utilization = self.utilization()
        if utilization <= FREE_UTILIZATION:
            return 0.0
        return (utilization - FREE_UTILIZATION) / (1.0 - FREE_UTILIZATION) if utilization < 1.0 else 1.0

    def has_spare_capacity(self) -> bool:
        """Whether responses come in time and the window is not pressed."""
        return self._late_fraction < ALLOWED_LATE_FRACTION and self.utilization() <= FREE_UTILIZATION

    def record_rejection(self) -> None:
        """The window kept a request out, so it may be too small."""
        self._has_rejected = True

    def record_response(self, objective_us: int) -> None:
        """Count a response to a request with this latency objective."""
        self._served_objectives.add(self._context.now, objective_us)

    def record_load_report(self, report: Mapping[str, float]) -> None:
        """Follow how busy servers say they are, if the report has the column for it."""
        if UTILIZATION_COLUMN in report:
            self._follow_server_utilization(min(max(report[UTILIZATION_COLUMN], 0.0), 1.0))

    def _follow_server_utilization(self, utilization: float) -> None:
        average = self._server_utilization
        if average is None:
            self._server_utilization = utilization
        else:
            self._server_utilization = average + UTILIZATION_STEP * (utilization - average)

    def record_missing_response(self) -> None:
        """Count a response as late before it has come: waiting for it would see a surge too late."""
        if self._server_utilization is not None:
            # No response, no report: reports from the other servers alone would flatter.
            self._follow_server_utilization(1.0)
        self.record_latency_ratio(LOST_RATIO)

    def record_no_capacity(self) -> None:
        """Count a request for which no attempt found a server with capacity."""
        self.record_latency_ratio(LOST_RATIO)

    def record_latency_ratio(self, ratio: float) -> None:
        """Follow the latency ratio of the typical response, and size the window by it.

        A geometric mean with each step limited: where a third of the servers is ill, their responses, however
        late, do not outweigh the others.
        """
        if self._idle_ratio is None:
            self.latency_ratio = self._idle_ratio = min(ratio, ALLOWED_RATIO)
        before = max(self.latency_ratio, MIN_RATIO)
        # Where responses are few, those better than usual count for more: a small balancer would else reject
        # its clients for a few late ones, and recover only by the few that it admits.
        factor = self._in_flight.averaging_factor() if ratio < min(before, 1.0) else 1.0
        change = min(max(ratio / before, 1.0 / MAX_SAMPLE_FACTOR), MAX_SAMPLE_FACTOR)
        self.latency_ratio = min(before * math.pow(change, factor * RATIO_STEP), MAX_RATIO)
        is_late = 1.0 if ratio > 1.0 else 0.0
        self._late_fraction += factor * LATE_STEP * (is_late - self._late_fraction)
        in_flight = self._in_flight.total()
        is_free = in_flight <= FREE_UTILIZATION * self.size
        rise = IDLE_RATIO_RISE if is_free else IDLE_RATIO_RISE_PRESSED
        self._idle_ratio = min(self._idle_ratio + rise, max(self.latency_ratio, MIN_IDLE_RATIO))
        self._resize(in_flight)

    def _resize(self, in_flight: int) -> None:
        """Shrink or grow the window by how far the typical response is from the allowed ratio.

        By Little's law, what is answered at the current rate within the allowed ratio needs rate times time
        in flight; below that the window never shrinks, or late news would shut it.
        """
        factor = self._in_flight.averaging_factor()
        span_us = factor * self._context.longest_objective_us
        elapsed_us = min(self._context.now - self._sized_at, span_us / MAX_STEP_DIVISOR)
        self._sized_at = self._context.now
        allowed = self._allowed_ratio()
        excess = self._excess(allowed, factor)
        if excess > 0.0 and self._late_fraction < ALLOWED_LATE_FRACTION and not self._are_servers_saturated():
            return  # slower than usual, yet in time
        if excess > 0.0:
            self.size = min(self.size, max(in_flight, self._in_flight.mean / FREE_UTILIZATION))
        elif not self._has_rejected:
            return  # nothing says that the window is too small
        self._has_rejected = False
        objective_us = self._context.longest_objective_us
        change = math.exp(-excess * elapsed_us / (SHRINK_OBJECTIVES * objective_us))
        self._served_objectives.set_window(span_us)
        needed = allowed * self._served_objectives.per_us(self._context.now)
        self.size = max(self.size * change, min(needed, self.size), MIN_WINDOW)

    def _allowed_ratio(self) -> float:
        idle_ratio = self._idle_ratio or 0.0
        allowed = min(max(ALLOWED_RATIO, ALLOWED_IDLE_MULTIPLE * idle_ratio), MAX_ALLOWED_RATIO)
        # The fewer responses there are, the further off the typical one must be to count.
        tolerance = self._in_flight.uncertainty() * (ALLOWED_RATIO_UNCERTAIN - ALLOWED_RATIO)
        return max(allowed, ALLOWED_RATIO + tolerance)

    def _excess(self, allowed: float, averaging_factor: float) -> float:
        """How far the typical response is beyond the allowed ratio, from -1 to 1."""
        excess = (self.latency_ratio - allowed) / allowed
        if self._server_utilization is not None and averaging_factor > 1.0:
            # Late responses from idle servers tell of a few slow ones, not of too many requests.  A busy
            # balancer sees so by itself, and on crowded servers reports tell it too late.
            busy = (self._server_utilization - BUSY_UTILIZATION) / (1.0 - BUSY_UTILIZATION)
            excess = min(excess, busy)
        return max(-1.0, min(excess, 1.0))

    def _are_servers_saturated(self) -> bool:
        return self._server_utilization is not None and self._server_utilization >= SATURATED_UTILIZATION
