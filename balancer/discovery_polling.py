"""Polling of service discovery, with backoff after failed calls.

The balancer watches the endpoint list.  A call that fails or is never answered is repeated in time, because
no sidecar may be without an up-to-date list for longer than `max_poll_interval_us`.
"""

from __future__ import annotations

from balancer.actions import WatchEndpoints
from balancer.context import DecisionContext
from balancer.scheduler import Scheduler
from balancer.settings import DiscoveryMode

# Changes of the endpoint list must be known at most this long after discovery can be reached again.
MAX_RECOVERY_US = 6_000_000
# Upper limit of the first backoff, as a fraction of the longest time allowed between polls ...
INITIAL_BACKOFF_FRACTION = 0.05
# ... or this fraction times the number of balancers in the cluster, if that is more.
INITIAL_BACKOFF_FRACTION_PER_BALANCER = 0.01
# The longest backoff in a small cluster, as such a fraction; leaves time for three failed calls in a row.
MAX_BACKOFF_FRACTION = 0.25
# The longest backoff in a large cluster, as a fraction of MAX_RECOVERY_US; the rest is for the call and its
# time in the queue of discovery.
MAX_BACKOFF_RECOVERY_FRACTION = 0.6
# Consecutive failures are counted up to this, which bounds the exponent of the backoff.
MAX_COUNTED_FAILURES = 8
# The lower limit of the random factor of later backoffs; close to 1, so that calls that the first, fully
# random backoff has spread out stay spread out.
MIN_LATER_JITTER = 0.8


class DiscoveryPoller:
    """Decides when discovery is called; does nothing if discovery pushes changes."""

    def __init__(self, context: DecisionContext, scheduler: Scheduler) -> None:
        self._context = context
        self._scheduler = scheduler
        self._consecutive_failures = 0
        self._due: int | None = None  # when to poll next; None while the list is watched

    def poll(self) -> None:
        """Watch the endpoint list, and schedule another poll in case there is no answer."""
        settings = self._context.settings
        if settings.discovery is DiscoveryMode.ON_REQUEST:
            self._context.actions.append(WatchEndpoints(is_enabled=True))
            self._schedule(MAX_BACKOFF_FRACTION * settings.guarantees.max_poll_interval_us)

    def poll_if_due(self) -> None:
        """Poll if the scheduled time has come and no list was received meanwhile."""
        if self._due is not None and self._due <= self._context.now:
            self.poll()

    def is_scheduled_at(self, due: int) -> bool:
        """Whether the next poll is scheduled for this time; a new schedule replaces the previous one."""
        return due == self._due

    def record_list(self) -> None:
        """Reset the backoff after a list was received."""
        self._consecutive_failures = 0
        self._due = None

    def record_failure(self) -> None:
        """Schedule a poll after a failed call or broken watch, with exponential backoff up to a limit.

        All balancers of a cluster call the same service, which answers calls one after another, so a larger
        cluster backs off for longer.  The first backoff is random from 0 up, because the calls of all
        balancers fail at the same time.
        """
        context = self._context
        present = context.settings.cluster_size * context.cluster_presence
        initial = max(INITIAL_BACKOFF_FRACTION, INITIAL_BACKOFF_FRACTION_PER_BALANCER * present)
        backoff = min(initial * 2**self._consecutive_failures, max(MAX_BACKOFF_FRACTION, 2.0 * initial))
        backoff_us = min(
            backoff * context.settings.guarantees.max_poll_interval_us,
            MAX_BACKOFF_RECOVERY_FRACTION * MAX_RECOVERY_US,
        )
        min_jitter = MIN_LATER_JITTER if self._consecutive_failures else 0.0
        self._schedule(backoff_us * context.random_stream.uniform(min_jitter, 1.0))
        self._consecutive_failures = min(self._consecutive_failures + 1, MAX_COUNTED_FAILURES)

    def _schedule(self, wait_us: float) -> None:
        """Schedule the next poll after this wait, in place of any earlier schedule."""
        self._due = self._context.now + int(wait_us)
        self._scheduler.schedule_poll(self._due)
