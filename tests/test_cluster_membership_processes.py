"""Membership among real copies of the program, with faults between them."""

from __future__ import annotations

import asyncio
from pathlib import Path

from test_emulator import GRACE_US, run_options, small_scenario
from test_testbed_models import fault_table, make_run

from testbed import events as log
from testbed.checker import check_invariants
from testbed.checker.history import History, build_history
from testbed.checker.membership import Agreement, agreement, membership_views
from testbed.emulator.play import run_scenario
from testbed.scenario import ScenarioRun, draw_run, read_scenario

QUICK = "\n[sidecars.membership]\nleast_period_ms = 200\nsuspicion_periods = 1.0\n"


def played(day: ScenarioRun, folder: Path) -> History:
    events = log.load(asyncio.run(run_scenario(day, run_options(folder))))
    verdict = check_invariants(events, slack_us=GRACE_US)
    assert verdict.violations == () and verdict.is_complete
    return build_history(events)


def small(count: int, seconds: int, more: str = "console = true") -> str:
    base = (
        small_scenario()
        .replace("seconds = 1", f"seconds = {seconds}")
        .replace("rate_per_s = 20", "rate_per_s = 300")
    )
    return base.replace("count = 1", "count = 4").replace("count = 2", f"count = {count}\n{more}{QUICK}")


def test_partitioned_killed_paused_and_restarted_processes_end_in_agreement(tmp_path: Path) -> None:
    history = played(draw_run(read_scenario("seven-copies"), 1), tmp_path)
    found = agreement(history)
    assert found.wrongly_dead == ()
    assert found.agreed_at_us is not None
    missed = [
        each for each in membership_views(history) if each.replica < 3 and set(each.states[3:]) & {"s", "d"}
    ]
    assert missed  # while the cut lasted


def test_processes_with_every_datagram_fault_end_in_agreement(tmp_path: Path) -> None:
    found = agreement(played(draw_run(read_scenario("seven-strangers"), 1), tmp_path))
    assert found.wrongly_dead == ()
    assert found.agreed_at_us is not None


def test_upgrade_is_one_member_with_two_incarnations(tmp_path: Path) -> None:
    history = played(
        make_run(fault_table("upgrade", 2, 0, who=["copy:0"]), small(3, 7, "operated = true")), tmp_path
    )
    assert agreement(history).agreed_at_us is not None
    assert not [each for each in membership_views(history) if each.replica != 0 and each.states[0] in "dl"]
    lives = {each.membership["life"] for each in history.metrics_reports if each.replica == 0}
    assert len(lives) == 2


def test_forbidden_datagrams_leave_membership_off(tmp_path: Path) -> None:
    history = played(make_run("", small(2, 1, "console = true\ndatagrams = false")), tmp_path)
    assert history.metrics_reports and not membership_views(history) and not history.datagrams


def test_membership_switched_off_sends_nothing(tmp_path: Path) -> None:
    base = small(2, 1).replace("least_period_ms = 200", "on = false")
    history = played(make_run("", base), tmp_path)
    assert history.metrics_reports and not membership_views(history) and not history.datagrams


def test_agreement_is_read_from_metrics() -> None:
    def day(views: list[tuple[int, int, str]]) -> Agreement:
        events: list[log.Event] = [
            log.RunStarted(at_us=log.BEFORE_RUN_US, run=make_run("", small(2, 1)), engine="x")
        ]
        events += [
            log.ReplicaStateChanged(at_us=0, replica=copy, incarnation=1, state="ready") for copy in (0, 1)
        ]
        events += [
            log.MetricsReported(
                at_us=at,
                replica=copy,
                incarnation=1,
                pending_requests=0,
                listed_endpoints=0,
                unavailable_endpoints=0,
                membership={"view": view},
            )
            for at, copy, view in views
        ]
        return agreement(build_history(events))

    assert day([(1, 0, "pp"), (2, 1, "pp"), (3, 0, "pp")]).agreed_at_us == 2
    assert day([(1, 0, "pp"), (2, 1, "pd"), (3, 0, "pp")]).agreed_at_us is None
    assert day([(1, 0, "pd"), (2, 1, "pd")]).wrongly_dead == ((0, 1), (1, 1))
    assert day([(1, 0, "pp")]).agreed_at_us is None
