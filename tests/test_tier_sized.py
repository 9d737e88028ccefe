"""What the decisions make of how many balancers there are: bounded, and nothing where nobody says so."""

from __future__ import annotations

import itertools

from helpers import MS, Stage, names, settings

from balancer.actions import WatchEndpoints
from balancer.events import ClusterSizeChanged, EndpointEntry, EndpointListKind, EndpointListReceived, Outcome

TIER = 16  # from twice as many on, waits are as long as being told in time allows


def waits(told: ClusterSizeChanged | None) -> float:
    """The mean wait between calls to discovery that fail, over many balancers."""
    found: list[int] = []
    for seed in range(30):
        stage = Stage(settings(cluster_size=TIER), seed=seed)
        if told is not None:
            stage.play(told)
        stage.servers(names(3))
        asked = []
        for _ in range(5):
            stage.play(EndpointListReceived(EndpointListKind.FAILED))
            before = len(stage.said(WatchEndpoints))
            while len(stage.said(WatchEndpoints)) == before:
                stage.wait(50 * MS)
            asked.append(stage.now)
        found += [later - earlier for earlier, later in itertools.pairwise(asked)]
    return sum(found) / len(found)


def sent_to_cold(told: ClusterSizeChanged | None) -> int:
    """How much a server that has just started gets of steady traffic."""
    total = 0
    for seed in range(8):
        stage = Stage(settings(), seed=seed)
        stage.servers(names(5))
        stage.serve(300)
        if told is not None:
            stage.play(told)
        cold = EndpointEntry(names(5)[0], zone="east", started_at=stage.now)
        stage.servers([cold], EndpointListKind.CHANGES)
        before = len(stage.log)
        stage.serve(100)
        total += sum(getattr(each, "server", None) == cold.server for _, each in stage.log[before:])
    return total


def trials(told: ClusterSizeChanged | None) -> int:
    """How many requests try servers that are ejected and stay lost."""
    total = 0
    for seed in range(6):
        stage = Stage(settings(), seed=seed)
        lost = names(12)[:6]
        if told is not None:
            stage.play(told)
        stage.servers(names(12))
        for _ in range(400):
            stage.wait(50 * MS)
            number = stage.request()
            while stage.sends(number):
                if stage.target(number) not in lost:
                    stage.end(number)
                    break
                total += 1
                before = len(stage.sends(number))
                stage.end(number, Outcome.CONNECT_FAILED)
                if len(stage.sends(number)) == before:
                    break
    return total


def test_never_told_or_told_of_all_is_the_same() -> None:
    everybody = ClusterSizeChanged(TIER, TIER, TIER)
    assert waits(None) == waits(everybody)
    assert sent_to_cold(None) == sent_to_cold(everybody)


def test_fewer_present_ask_sooner_and_try_more_often_and_send_the_cold_no_more() -> None:
    few = ClusterSizeChanged(TIER, TIER * 3 // 4, TIER * 3 // 4)
    assert waits(few) < 0.9 * waits(None)
    # What is sent to the cold is a part of what each sends itself: who is absent takes nothing of that.
    assert sent_to_cold(few) == sent_to_cold(None)
    assert trials(few) >= trials(None)


def test_a_wrong_view_costs_at_most_a_factor_of_one_and_a_half() -> None:
    nobody = ClusterSizeChanged(TIER, 1, 1, in_minority=True)
    assert waits(nobody) >= waits(None) / 1.6
    assert sent_to_cold(nobody) == sent_to_cold(None)
    assert waits(ClusterSizeChanged(0, 0, 0)) >= waits(None) / 1.6
    assert waits(ClusterSizeChanged(TIER, 10 * TIER, 0)) == waits(None)
