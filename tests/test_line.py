"""Discovery's line: one call after another, given up after three seconds; waits are the module's own."""

from __future__ import annotations

import pytest

from testbed.cluster_simulation.line import Line, S, returned
from testbed.simulation.queue import Queue


def test_calls_are_served_one_after_another() -> None:
    line = Line(Queue(), 1_000)
    assert [line.takes_until() for _ in range(3)] == [(1_000, True), (2_000, True), (3_000, True)]


def test_what_would_wait_for_more_than_three_seconds_is_given_up_and_takes_no_time() -> None:
    line = Line(Queue(), 2 * S)
    assert [line.takes_until() for _ in range(4)] == [
        (2 * S, True),
        (4 * S, True),
        (3 * S, False),
        (3 * S, False),
    ]
    line.queue.run(2 * S)
    assert line.takes_until() == (6 * S, True)


def test_while_it_is_down_every_call_is_refused_at_once() -> None:
    line = Line(Queue(), 1_000)
    line.is_down = True
    assert line.takes_until() == (0, False)


def test_all_are_told_and_a_seed_gives_the_same_again() -> None:
    waits = returned(30, 1, 10, seed=1)
    assert len(waits) == 30
    assert min(waits) > 0.0
    assert waits == returned(30, 1, 10, seed=1)
    assert waits != returned(30, 1, 10, seed=2)


@pytest.mark.parametrize("size", [20, 100])
def test_nobody_is_told_sooner_than_the_line_lets_through(size: int) -> None:
    waits = sorted(returned(size, 50, 10, seed=1))
    assert all(wait >= 0.05 * (place + 1) for place, wait in enumerate(waits))
