"""Discovery's queue: calls are served one after another and given up after three seconds."""

from __future__ import annotations

import pytest

from testbed.cluster_simulation.discovery_queue import DiscoveryQueue, S, answer_delays
from testbed.simulation.queue import EventQueue


def test_queue_serves_calls_one_after_another() -> None:
    discovery = DiscoveryQueue(EventQueue(), 1_000)
    assert [discovery.enqueue_call() for _ in range(3)] == [(1_000, True), (2_000, True), (3_000, True)]


def test_call_waiting_over_three_seconds_is_given_up_and_takes_no_time() -> None:
    discovery = DiscoveryQueue(EventQueue(), 2 * S)
    assert [discovery.enqueue_call() for _ in range(4)] == [
        (2 * S, True),
        (4 * S, True),
        (3 * S, False),
        (3 * S, False),
    ]
    discovery.queue.run(2 * S)
    assert discovery.enqueue_call() == (6 * S, True)


def test_call_while_down_is_rejected_at_once() -> None:
    discovery = DiscoveryQueue(EventQueue(), 1_000)
    discovery.is_down = True
    assert discovery.enqueue_call() == (0, False)


def test_all_sidecars_have_an_answer_and_a_seed_repeats_the_run() -> None:
    delays = answer_delays(30, 1, 10, seed=1)
    assert len(delays) == 30
    assert min(delays) > 0.0
    assert delays == answer_delays(30, 1, 10, seed=1)
    assert delays != answer_delays(30, 1, 10, seed=2)


@pytest.mark.parametrize("size", [20, 100])
def test_answers_come_no_sooner_than_the_queue_allows(size: int) -> None:
    delays = sorted(answer_delays(size, 50, 10, seed=1))
    assert all(delay >= 0.05 * (index + 1) for index, delay in enumerate(delays))
