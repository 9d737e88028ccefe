"""Polling of service discovery, with backoff after failed calls.

The balancer watches the endpoint list; a call that fails or is never answered is made again in time, since no
instance may go without the list for longer than `max_poll_interval_us`.
"""

from __future__ import annotations

from balancer.actions import WatchEndpoints
from balancer.context import DecisionContext
from balancer.scheduler import Scheduler
from balancer.settings import DiscoveryMode

# Whatever failed, a change has to be known so long after discovery could be reached.
RECOVERY_US = 6_000_000
# First backoff, as a part of the longest time allowed between polls ...
MIN_BACKOFF = 0.05
# ... or this for each balancer of the cluster, where that is more.
MIN_BACKOFF_PER_BALANCER = 0.01
# The longest backoff of a small cluster: three failed calls in a row still fit.
MAX_BACKOFF = 0.25
# The longest of a large one, as a part of the recovery time: the rest is for the call and its queue.
MAX_BACKOFF_OF_RECOVERY = 0.6
MAX_COUNTED_FAILURES = 8
# Backoffs after the first hardly differ, so that calls stay spread.
MIN_LATER_JITTER = 0.8


class DiscoveryPoller:
    """Decides when discovery is called; does nothing where changes are pushed."""

    def __init__(self, context: DecisionContext, scheduler: Scheduler) -> None:
        self._context = context
        self._scheduler = scheduler
        self._failed_calls = 0  # in a row
        self._due: int | None = None  # of the next poll; None while the list is watched

    def poll(self) -> None:
        """Watch the endpoint list, and poll again if there is no answer."""
        settings = self._context.settings
        if settings.discovery is DiscoveryMode.ON_REQUEST:
            self._context.actions.append(WatchEndpoints(is_enabled=True))
            self._schedule(MAX_BACKOFF * settings.guarantees.max_poll_interval_us)

    def poll_if_due(self) -> None:
        """Poll when the planned time has come, unless the list was received meanwhile."""
        if self._due is not None and self._due <= self._context.now:
            self.poll()

    def is_planned_at(self, due: int) -> bool:
        """Whether the next poll is planned for this time; earlier plans are void."""
        return due == self._due

    def record_list(self) -> None:
        """A list was received: the backoff begins anew."""
        self._failed_calls = 0
        self._due = None

    def record_failure(self) -> None:
        """A call failed or the watch broke: poll after a backoff that doubles up to a limit.

        A cluster calls one service, which answers one call after another: the larger the cluster, the longer
        the backoff.  The first is random from zero on, since calls fail together.
        """
        context = self._context
        present = context.settings.cluster_size * context.cluster_presence
        first = max(MIN_BACKOFF, MIN_BACKOFF_PER_BALANCER * present)
        backoff = min(first * 2**self._failed_calls, max(MAX_BACKOFF, 2.0 * first))
        backoff_us = min(
            backoff * context.settings.guarantees.max_poll_interval_us, MAX_BACKOFF_OF_RECOVERY * RECOVERY_US
        )
        min_jitter = MIN_LATER_JITTER if self._failed_calls else 0.0
        self._schedule(backoff_us * context.random_stream.uniform(min_jitter, 1.0))
        self._failed_calls = min(self._failed_calls + 1, MAX_COUNTED_FAILURES)

    def _schedule(self, wait_us: float) -> None:
        """Poll after this wait, in place of any earlier plan."""
        self._due = self._context.now + int(wait_us)
        self._scheduler.schedule_poll(self._due)
