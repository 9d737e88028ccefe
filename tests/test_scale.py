"""Scale runs: agreement of real and simulated members, detection of killed ones, no process left behind."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from msgspec.structs import replace
from test_emulator import PROGRAM, ROOT, processes_with_folder

from sidecar.cluster.actions import MemberStateChanged
from sidecar.cluster.message import MemberState
from testbed import cli
from testbed.capacity.samples import load_all
from testbed.emulator.replica_process import RunError
from testbed.scale.figures import Figures
from testbed.scale.plan import RACK_SIZE, Event, Plan, check, feasible_events
from testbed.scale.run import run_plan
from testbed.scale.runner import Snapshot
from testbed.scale.save import save_results
from testbed.scale.simulated_member import DisseminationTimer, SimulatedNetwork, drain

GENEROUS_S = 120.0  # timeout of each wait; no test measures it
SMALL = Plan(
    members=20,
    real=3,
    off=1,
    workers=2,
    events=(Event.START, Event.KILL, Event.DISCOVERY),
    down_s=0.5,
    rest_s=0.5,
    agree_within_s=GENEROUS_S,
    within_s=3 * GENEROUS_S,
    membership={"suspicion_periods": 1.0, "suspicion_stretch": 1.0},
)


def executed(plan: Plan, folder: Path) -> Figures:
    messages: list[str] = []
    return asyncio.run(run_plan(plan, ROOT, PROGRAM, messages.append, folder))


def test_small_cluster_agrees_detects_a_death_and_recovers_from_discovery_outage(tmp_path: Path) -> None:
    figures = executed(SMALL, tmp_path)
    assert not [note for case in figures.cases for note in case.notes]  # no event timed out
    values: dict[tuple[str, str, str], Any] = {
        (sample.measure, sample.case, sample.engine): sample.value
        for case in figures.cases
        for sample in case.samples
    }
    for case in ("start-at-once", "kill-back"):
        assert values["member.agreed_after", case, "hollow"] > 0.0
    for engine in ("hollow", "real"):
        assert values["member.death_known", "kill", engine] > 0.0
        assert values["member.sent_datagrams", "start-at-once", engine] > 0.0
    assert values["discovery.return_told", "discovery-down-0.5s", "hollow"] > 0.0
    assert values["discovery.calls", "start-at-once", "hollow"] > 0.0
    assert values["discovery.lines", "start-at-once", "hollow"] > 0.0
    assert values["member.cpu", "kill-back-off", "real"] >= 0.0
    assert processes_with_folder(tmp_path) == []


def test_configuration_signalled_to_one_member_comes_in_force_everywhere(tmp_path: Path) -> None:
    plan = replace(SMALL, members=10, real=2, events=(Event.START, Event.CONFIG))
    figures = executed(plan, tmp_path)
    assert not [note for case in figures.cases for note in case.notes]
    recorded = {
        (sample.measure, sample.engine)
        for case in figures.cases
        for sample in case.samples
        if sample.case == "configuration-versions"
    }
    assert {("config.in_force", "hollow"), ("config.in_force", "real")} <= recorded
    assert ("config.known_everywhere", "real") in recorded


_LONG_RUN = """
import asyncio, sys
from pathlib import Path
from testbed.scale.plan import Event, Plan
from testbed.scale.run import run_plan
plan = Plan(members=8, real=2, off=1, workers=2, events=(Event.REST,), rest_s=600.0)
asyncio.run(run_plan(plan, Path(sys.argv[1]), sys.argv[2], print, Path(sys.argv[3])))
"""


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM, signal.SIGINT])
def test_ended_run_leaves_no_process(tmp_path: Path, signal_number: signal.Signals) -> None:
    run = subprocess.Popen(
        [sys.executable, "-c", _LONG_RUN, str(ROOT), PROGRAM, str(tmp_path)],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        _wait_for(
            lambda: len(processes_with_folder(tmp_path)) >= 5
        )  # two workers, two real members, one with membership off
    finally:
        run.send_signal(signal_number)
    run.wait(GENEROUS_S)
    _wait_for(lambda: processes_with_folder(tmp_path) == [])


def _wait_for(condition: Any) -> None:
    ends_at = time.monotonic() + GENEROUS_S
    while not condition():
        assert time.monotonic() < ends_at
        time.sleep(0.05)


@pytest.mark.parametrize(
    ("plan", "reason"),
    [
        (Plan(members=500, real=150, off=50, workers=8), "processes"),
        (Plan(members=20_000, workers=180), "MB are allowed"),
        (Plan(members=1_000, workers=4), "give more workers"),
        (Plan(members=50, real=30), "half of them"),
        (Plan(members=99, events=(Event.RACK,)), "a rack"),
        (Plan(members=1), "two or more"),
        (Plan(members=10, events=(), loss=1.0), "a loss"),
    ],
)
def test_plan_that_exceeds_a_limit_or_is_inconsistent_is_rejected(plan: Plan, reason: str) -> None:
    with pytest.raises(RunError, match=reason):
        check(plan)


def test_command_exits_with_user_error_for_a_rejected_plan(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(sys, "argv", ["sidecar-testbed", "scale", "-n", "20000", "--workers", "180"])
    with pytest.raises(SystemExit) as exited:
        cli.main()
    assert exited.value.code == cli.EXIT_USER_ERROR
    assert "MB are allowed" in capsys.readouterr().err


def test_shares_cover_all_simulated_members_and_real_members_are_on_one_side_of_the_partition() -> None:
    plan = Plan(members=750)
    check(plan)
    shares = plan.shares()
    assert sorted(number for share in shares for number in share) == list(range(4, 750))
    assert max(len(share) for share in shares) - min(len(share) for share in shares) <= 1
    assert len(plan.rack_members) == RACK_SIZE and min(plan.rack_members) == plan.real - 1
    assert len(plan.zone_members) == 150 and min(plan.zone_members) > max(plan.rack_members)
    assert plan.partition_border > plan.real
    assert Event.RACK in feasible_events(100) and Event.RACK not in feasible_events(99)


def test_datagram_loss_draws_one_random_number_and_a_partition_works_both_ways() -> None:
    network = SimulatedNetwork(2, _FixedRandom([0.04, 0.06]))
    network.loss = 0.05
    assert network.is_lost(3, 4) and not network.is_lost(3, 4)
    network.loss, network.partition_border = 0.0, 4
    assert network.is_lost(3, 4) and network.is_lost(4, 3)
    assert not network.is_lost(2, 3) and not network.is_lost(4, 5)


class _FixedRandom(random.Random):
    def __init__(self, values: list[float]) -> None:
        super().__init__()
        self._values = values

    def random(self) -> float:
        return self._values.pop(0)


def test_only_the_death_of_a_live_incarnation_is_wrong() -> None:
    network = SimulatedNetwork(0, random.Random(1))
    network.min_incarnations = {5: 100}
    network.record_member_ended(1, MemberStateChanged(5, MemberState.DEAD, 99, 2))  # an earlier incarnation
    network.record_member_ended(1, MemberStateChanged(6, MemberState.DEAD, 100, 2))  # member 6 was killed
    network.record_member_ended(1, MemberStateChanged(5, MemberState.LEFT, 100, 5))
    assert network.wrongly_dead == set()
    network.record_member_ended(1, MemberStateChanged(5, MemberState.DEAD, 100, 2))
    network.record_member_ended(2, MemberStateChanged(5, MemberState.DEAD, 100, 2))
    assert network.wrongly_dead == {(5, 100)}


def test_timer_records_an_observer_at_its_last_pending_item() -> None:
    timer = DisseminationTimer(time.monotonic(), {1: {7, 8}, 2: {7, 8}})
    timer.learned(1, 7)
    timer.learned(3, 7)
    assert timer.elapsed_s == {}
    timer.learned(1, 8)
    timer.remove(2)
    assert list(timer.elapsed_s) == [1] and timer.pending == {}


def test_drain_discards_datagrams_that_arrived_before() -> None:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
    ):
        receiver.setblocking(False)
        receiver.bind(("127.0.0.1", 0))
        sender.sendto(b"late", receiver.getsockname())
        drain(receiver)
        with pytest.raises(BlockingIOError):
            receiver.recv(1)


def _snapshot(at: float, count: int, lag_ms: tuple[float, float], cpu_s: float = 0.0) -> Snapshot:
    counts = (count, 20 * count, count, 30 * count)
    simulated = dict.fromkeys(range(2, 10), counts)
    return Snapshot(at, simulated, [counts] * 2, (0, 0, 0), {}, [(cpu_s, 1.0)], set(), lag_ms)


def test_cases_limited_by_the_machine_are_saved_as_not_valid(tmp_path: Path) -> None:
    plan = Plan(members=10, real=2, workers=1)
    figures = Figures(plan)
    first = _snapshot(0.0, 0, (0.0, 0.0))
    figures.between(figures.case("rest"), first, _snapshot(10.0, 10, (4.0, 20.0)), set())
    figures.between(figures.case("kill"), first, _snapshot(10.0, 10, (80.0, 90.0)), set())
    figures.between(figures.case("zone"), first, _snapshot(10.0, 10, (4.0, 20.0), cpu_s=9.9), set())
    assert {sample.case for sample in figures.usable} == {"rest"}
    save_results(figures, "sidecar-testbed scale", tmp_path)
    usable, unusable = sorted(load_all(tmp_path), key=lambda saved: not saved.valid)
    assert (usable.valid, unusable.valid) == (True, False)
    assert {sample.case for sample in unusable.samples} == {"kill", "zone"}
    assert "late by 80 ms" in unusable.notes and "0.99 of a core" in unusable.notes


def test_different_costs_of_simulated_and_real_members_are_faults() -> None:
    plan = Plan(members=10, real=2, workers=1)
    figures = Figures(plan)
    case = figures.case("rest")
    figures.between(case, _snapshot(0.0, 0, (0.0, 0.0)), _snapshot(10.0, 10, (0.0, 0.0)), set())
    figures.compare_kinds(case)
    assert case.faults == []  # real traffic with eight members is extrapolated to nine
    last = _snapshot(10.0, 10, (0.0, 0.0))
    last.real[:] = [(5, 100, 5, 150)] * 2
    other = figures.case("rest")
    figures.between(other, _snapshot(0.0, 0, (0.0, 0.0)), last, set())
    figures.compare_kinds(other)
    assert len(other.faults) == 4
