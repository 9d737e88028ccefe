"""Membership in every order of events among three members."""

from __future__ import annotations

import random

import pytest

from sidecar.cluster.message import (
    MembershipUpdate,
)
from sidecar.cluster.refutation import Refutation
from testbed.cluster_simulation.explore import InvariantError, World, explore


def explore_at_random(seeds: int) -> None:
    """Apply long sequences of random steps, and heal each at its end."""
    rng = random.Random(5)
    for _ in range(seeds):
        world = World(rng.randrange(1_000))
        for _ in range(120):
            world.step(*rng.choice(list(world.steps(max_faults=6))))
        world.heal()


def test_every_order_of_events_keeps_the_guarantees_and_heals() -> None:
    explored = explore(depth=3, max_faults=2, heal_every=5)
    assert explored.states > 1_000 and explored.healed > 200
    assert explored.longest_heal_us <= 120_000_000


def test_long_random_orders_keep_the_guarantees() -> None:
    explore_at_random(300)


def test_exploration_finds_a_revived_incarnation(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        MembershipUpdate,
        "precedence",
        property(lambda update: (update.incarnation, 0, update.refutations, -update.state)),
    )
    with pytest.raises(InvariantError):
        explore_at_random(300)


def test_exploration_finds_a_member_that_does_not_refute(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Refutation, "local_update_received", lambda self, now, update: None)
    with pytest.raises(InvariantError):
        explore_at_random(100)
