"""What all mechanisms of one balancer share: settings, clock, random stream and the actions so far."""

from __future__ import annotations

import random

from balancer.actions import Action
from balancer.settings import Settings

# A cluster view may be wrong: at least this fraction of the balancers is taken to be present.
MIN_CLUSTER_PRESENCE = 0.67
JITTER_BASE = 0.75
JITTER_SPAN = 0.5


class DecisionContext:
    """The state around one event.

    All chance comes from the one random stream, so that a seed and a sequence of events determine all
    actions.  Clock times are whole microseconds and never decrease.
    """

    __slots__ = ("actions", "cluster_presence", "longest_objective_us", "now", "random_stream", "settings")

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random_stream = random.Random(seed)
        self.longest_objective_us = max(
            service_class.latency_objective_us for service_class in settings.classes
        )
        self.now = 0
        self.actions: list[Action] = []  # of the event being handled, in order
        self.cluster_presence = 1.0  # the fraction of the cluster's balancers that are present

    def begin_event(self, now: int) -> None:
        """Start a new list of actions at clock time `now`."""
        self.now = now
        self.actions = []

    def set_cluster_size(self, configured: int, present: int) -> None:
        """Take over how many balancers the cluster has, and how many of them are present."""
        self.cluster_presence = min(max(present / max(configured, 1), MIN_CLUSTER_PRESENCE), 1.0)

    def time_after(self, objectives: float) -> int:
        """The time after about so many of the longest latency objective.

        Jittered by a quarter in both directions, so that balancers spread out.
        """
        jitter = JITTER_BASE + JITTER_SPAN * self.random_stream.random()
        return self.now + int(objectives * self.longest_objective_us * jitter)
