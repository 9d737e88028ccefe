"""State that all components of one balancer share: settings, clock, random stream and pending actions."""

from __future__ import annotations

import random

from balancer.actions import Action
from balancer.settings import Settings

# The reported cluster size may be wrong, so at least this fraction of the balancers is assumed to be present.
MIN_CLUSTER_PRESENCE = 0.67
JITTER_BASE = 0.75
JITTER_SPAN = 0.5


class DecisionContext:
    """Settings, clock, random stream and the actions of the event that is being handled.

    All random numbers come from one stream, so that the seed and the sequence of events determine all
    actions. Clock times are whole microseconds and never decrease.
    """

    __slots__ = ("actions", "cluster_presence", "longest_objective_us", "now", "random_stream", "settings")

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random_stream = random.Random(seed)
        self.longest_objective_us = max(
            service_class.latency_objective_us for service_class in settings.classes
        )
        self.now = 0
        self.actions: list[Action] = []  # actions of the event being handled, in order
        self.cluster_presence = 1.0  # fraction of the cluster's balancers that are present

    def begin_event(self, now: int) -> None:
        """Set the clock to `now` and start an empty list of actions."""
        self.now = now
        self.actions = []

    def set_cluster_size(self, configured: int, present: int) -> None:
        """Set the configured number of balancers of the cluster and the number of those present."""
        self.cluster_presence = min(max(present / max(configured, 1), MIN_CLUSTER_PRESENCE), 1.0)

    def jittered_time_after(self, objectives: float) -> int:
        """Return the clock time after a delay, given in multiples of the longest latency objective.

        The delay is jittered by up to a quarter in both directions, so that balancers do not act at once.
        """
        jitter = JITTER_BASE + JITTER_SPAN * self.random_stream.random()
        return self.now + int(objectives * self.longest_objective_us * jitter)
