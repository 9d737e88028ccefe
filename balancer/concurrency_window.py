"""The concurrency window: the number of requests in flight that the fleet can answer in time.

The window is sized by the latency ratio, which is the latency of a response divided by its latency objective.
It limits requests in flight and not their rate: a surge reaches the limit at once, and when servers become
slower, the admitted rate falls without a change of the window.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from balancer.context import DecisionContext
from balancer.in_flight import InFlightTracker
from balancer.moving_average import DecayingRate

# Up to this utilization all requests are admitted and the window does not grow.
FREE_UTILIZATION = 0.5
# Above 0, so that some requests are always admitted and their responses show when the overload is over.
MIN_WINDOW = 0.1
# Below this window size the current count of requests in flight is mostly chance, so the mean is used too.
SIGNIFICANT_WINDOW = 8.0
# Time in which the window shrinks by a factor of e at twice the allowed latency ratio, in multiples of the
# longest latency objective.
SHRINK_OBJECTIVES = 0.5
# One resize accounts for at most the averaging time divided by this.
MAX_STEP_DIVISOR = 4

# The mean latency ratio beyond which the fleet counts as overloaded ...
ALLOWED_RATIO = 0.3
# ... and the same where few requests are in flight, so that much of the mean is chance.
ALLOWED_RATIO_UNCERTAIN = 0.4
# The allowed ratio is at least this multiple of the latency ratio of the idle fleet ...
ALLOWED_IDLE_MULTIPLE = 1.2
# ... unless that exceeds this limit.
MAX_ALLOWED_RATIO = 0.5

# A sample counts as at most the mean latency ratio times this, and as at least the mean divided by this.
MAX_SAMPLE_FACTOR = 2.0
# Weight of one sample in the geometric mean, an average of about fifteen samples.
RATIO_STEP = 0.06
MIN_RATIO = 0.02
MAX_RATIO = 1.0
# The sample for a response that never came, and for a request that found no server with capacity.
MISSING_RESPONSE_RATIO = 2.0

# How much the estimated ratio of the idle fleet may rise with each response, below and above
# FREE_UTILIZATION.
IDLE_RATIO_RISE = 0.0008
IDLE_RATIO_RISE_UNDER_PRESSURE = 0.00008
MIN_IDLE_RATIO = 0.04

# While less than this fraction of the responses is late, the fleet does not count as overloaded.
ALLOWED_LATE_FRACTION = 0.05
LATE_FRACTION_STEP = 0.02

# Servers that report a lower utilization than this have capacity left.
BUSY_UTILIZATION = 0.85
# Servers that report at least this utilization are overloaded, even before responses are late.
SATURATED_UTILIZATION = 0.95
UTILIZATION_STEP = 0.1
UTILIZATION_COLUMN = "util"  # column of a load report with the utilization, from 0 to 1


class ConcurrencyWindow:
    """The window, in requests in flight, and the moving averages that determine its size."""

    def __init__(self, context: DecisionContext, in_flight: InFlightTracker) -> None:
        self._context = context
        self._in_flight = in_flight
        self.size = math.inf
        self.latency_ratio = 0.0  # geometric mean of recent samples
        self._late_fraction = 0.0
        self._idle_ratio: float | None = None  # the lowest latency ratio, rising slowly
        self._server_utilization: float | None = None  # as reported by servers; None: no reports
        self._served_objectives = DecayingRate(context.longest_objective_us)
        self._has_rejected = False  # since the last resize
        self._sized_at = 0

    def utilization(self) -> float:
        """Return the fraction of the window that is in use.

        In a small window, two concurrent requests may be chance, so the mean number in flight is used instead
        of the current one, in proportion to how small the window is.
        """
        certainty = min(self.size / SIGNIFICANT_WINDOW, 1.0)
        mean = self._in_flight.mean
        return (mean + certainty * (self._in_flight.total() - mean)) / self.size

    def pressure(self) -> float:
        """Return the admission pressure: 0 up to a utilization of FREE_UTILIZATION, 1 at a full window."""
        utilization = self.utilization()
        if utilization <= FREE_UTILIZATION:
            return 0.0
        return (utilization - FREE_UTILIZATION) / (1.0 - FREE_UTILIZATION) if utilization < 1.0 else 1.0

    def has_spare_capacity(self) -> bool:
        """Whether responses come in time and there is no admission pressure."""
        return self._late_fraction < ALLOWED_LATE_FRACTION and self.utilization() <= FREE_UTILIZATION

    def record_rejection(self) -> None:
        """Note that a request was rejected, so the window may be too small."""
        self._has_rejected = True

    def record_response(self, objective_us: int) -> None:
        """Count a response to a request with this latency objective."""
        self._served_objectives.add(self._context.now, objective_us)

    def record_load_report(self, report: Mapping[str, float]) -> None:
        """Update the average server utilization, if the report contains it."""
        if UTILIZATION_COLUMN in report:
            self._update_server_utilization(min(max(report[UTILIZATION_COLUMN], 0.0), 1.0))

    def _update_server_utilization(self, utilization: float) -> None:
        average = self._server_utilization
        if average is None:
            self._server_utilization = utilization
        else:
            self._server_utilization = average + UTILIZATION_STEP * (utilization - average)

    def record_missing_response(self) -> None:
        """Count a pending attempt as late; waiting for its response would detect a surge too late."""
        if self._server_utilization is not None:
            # A server that does not respond sends no load report either; the other servers' reports alone
            # would make the average too low.
            self._update_server_utilization(1.0)
        self.record_latency_ratio(MISSING_RESPONSE_RATIO)

    def record_no_capacity(self) -> None:
        """Count a request for which no attempt found a server with capacity."""
        self.record_latency_ratio(MISSING_RESPONSE_RATIO)

    def record_latency_ratio(self, ratio: float) -> None:
        """Update the mean latency ratio by one sample and resize the window.

        The mean is geometric and each sample is bounded, so that the responses of a third of the servers,
        however late, do not outweigh the others.
        """
        if self._idle_ratio is None:
            self.latency_ratio = self._idle_ratio = min(ratio, ALLOWED_RATIO)
        mean = max(self.latency_ratio, MIN_RATIO)
        # With few requests in flight, samples below the mean get more weight.  Otherwise a small balancer
        # would reject requests after a few late responses, and recover only by the few requests that it then
        # admits.
        factor = self._in_flight.averaging_factor() if ratio < min(mean, 1.0) else 1.0
        change = min(max(ratio / mean, 1.0 / MAX_SAMPLE_FACTOR), MAX_SAMPLE_FACTOR)
        self.latency_ratio = min(mean * math.pow(change, factor * RATIO_STEP), MAX_RATIO)
        is_late = 1.0 if ratio > 1.0 else 0.0
        self._late_fraction += factor * LATE_FRACTION_STEP * (is_late - self._late_fraction)
        in_flight = self._in_flight.total()
        is_free = in_flight <= FREE_UTILIZATION * self.size
        rise = IDLE_RATIO_RISE if is_free else IDLE_RATIO_RISE_UNDER_PRESSURE
        self._idle_ratio = min(self._idle_ratio + rise, max(self.latency_ratio, MIN_IDLE_RATIO))
        self._resize(in_flight)

    def _resize(self, in_flight: int) -> None:
        """Shrink or grow the window by how far the mean latency ratio is from the allowed ratio.

        By Little's law, the current rate of responses at the allowed latency needs rate times latency
        requests in flight.  The window does not shrink below that number: responses show relief only late,
        and the window would close meanwhile.
        """
        factor = self._in_flight.averaging_factor()
        span_us = factor * self._context.longest_objective_us
        elapsed_us = min(self._context.now - self._sized_at, span_us / MAX_STEP_DIVISOR)
        self._sized_at = self._context.now
        allowed = self._allowed_ratio()
        excess = self._excess(allowed, factor)
        if excess > 0.0 and self._late_fraction < ALLOWED_LATE_FRACTION and not self._are_servers_saturated():
            return  # slower than the allowed ratio, but within the latency objective
        if excess > 0.0:
            self.size = min(self.size, max(in_flight, self._in_flight.mean / FREE_UTILIZATION))
        elif not self._has_rejected:
            return  # no rejection, so no sign that the window is too small
        self._has_rejected = False
        objective_us = self._context.longest_objective_us
        change = math.exp(-excess * elapsed_us / (SHRINK_OBJECTIVES * objective_us))
        self._served_objectives.set_window(span_us)
        needed = allowed * self._served_objectives.per_us(self._context.now)
        self.size = max(self.size * change, min(needed, self.size), MIN_WINDOW)

    def _allowed_ratio(self) -> float:
        idle_ratio = self._idle_ratio or 0.0
        allowed = min(max(ALLOWED_RATIO, ALLOWED_IDLE_MULTIPLE * idle_ratio), MAX_ALLOWED_RATIO)
        # With fewer requests in flight the mean is less certain, so a larger deviation is tolerated.
        tolerance = self._in_flight.uncertainty() * (ALLOWED_RATIO_UNCERTAIN - ALLOWED_RATIO)
        return max(allowed, ALLOWED_RATIO + tolerance)

    def _excess(self, allowed: float, averaging_factor: float) -> float:
        """Return by how much the mean latency ratio exceeds the allowed one, relative to it, from -1 to 1."""
        excess = (self.latency_ratio - allowed) / allowed
        if self._server_utilization is not None and averaging_factor > 1.0:
            # Late responses while servers report low utilization come from a few slow servers and not from
            # overload.  A busy balancer sees this in its many responses, and reports would tell it of
            # overload too late.
            utilization_excess = (self._server_utilization - BUSY_UTILIZATION) / (1.0 - BUSY_UTILIZATION)
            excess = min(excess, utilization_excess)
        return max(-1.0, min(excess, 1.0))

    def _are_servers_saturated(self) -> bool:
        return self._server_utilization is not None and self._server_utilization >= SATURATED_UTILIZATION
