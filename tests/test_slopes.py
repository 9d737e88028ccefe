"""Simulated trials by cluster size: traffic, detection of deaths, agreement, and repetition by seed."""

from __future__ import annotations

import pytest

from testbed.capacity.samples import Sample
from testbed.cluster_simulation.slopes import CASES, run_case
from testbed.cluster_simulation.trial import OverdueError, Trial

SIZE = 20


def value(samples: list[Sample], measure: str, part: str, case: str) -> float:
    (matching,) = [
        sample.value
        for sample in samples
        if (sample.measure, sample.part, sample.case) == (measure, part, case)
    ]
    return matching


def test_seed_repeats_the_run() -> None:
    assert run_case("region-cut-60s", SIZE, 3) == run_case("region-cut-60s", SIZE, 3)
    assert run_case("region-cut-60s", SIZE, 3) != run_case("region-cut-60s", SIZE, 4)


def test_datagrams_sent_at_rest_are_received() -> None:
    samples = run_case("rest", SIZE, 1)
    sent = value(samples, "member.sent_bytes", "mean", "rest")
    assert sent == pytest.approx(value(samples, "member.heard_bytes", "mean", "rest"), rel=0.01)
    assert value(samples, "member.sent_datagrams", "max", "rest") <= 1.1  # the budget at rest
    assert value(samples, "member.wrong_deaths", "mean", "rest") == 0.0


def test_zone_failure_is_known_to_all_without_wrong_deaths() -> None:
    samples = run_case("zone", SIZE, 1)
    median = value(samples, "member.death_known", "median", "zone")
    assert 0.0 < median <= value(samples, "member.death_known", "max", "zone")
    assert value(samples, "member.wrong_deaths", "mean", "zone") == 0.0


def test_deaths_across_a_partition_are_not_wrong() -> None:
    samples = run_case("region-cut-120s", SIZE, 1)
    assert value(samples, "member.wrong_deaths", "mean", "region-cut-120s-during") == 0.0
    assert value(samples, "member.agreed_after", "max", "region-cut-120s") > 0.0


def test_live_member_declared_dead_is_counted() -> None:
    trial = Trial(SIZE, 1)
    trial.cluster.processes[3][0].pause()
    trial.cluster.run(60.0)
    trial.add_costs("paused")
    assert value(trial.samples, "member.wrong_deaths", "mean", "paused") == pytest.approx(
        3.0
    )  # 1 of 20 a minute


@pytest.mark.parametrize("case", ["restarts", "release"])
def test_restarted_member_is_not_wrongly_dead_and_keeps_its_counts(case: str) -> None:
    samples = run_case(case, SIZE, 1)
    assert value(samples, "member.wrong_deaths", "mean", case) == 0.0
    mean = value(samples, "member.sent_datagrams", "mean", case)
    assert mean == pytest.approx(value(samples, "member.heard_datagrams", "mean", case), rel=0.05)


def test_requests_raise_the_rate_of_datagrams() -> None:
    at_rest = value(run_case("rest", SIZE, 1), "member.sent_datagrams", "mean", "rest")
    loaded = value(run_case("load", SIZE, 1), "member.sent_datagrams", "mean", "load")
    assert loaded > 1.5 * at_rest


def test_overdue_wait_raises() -> None:
    trial = Trial(SIZE, 1)
    trial.kill([1])
    with pytest.raises(OverdueError, match="within 1 s"):
        trial.until_known(1.0)


def test_every_case_has_four_sizes() -> None:
    assert not [name for name, case in CASES.items() if len({size for size, _ in case.cells()}) < 4]
