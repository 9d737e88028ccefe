"""Many members on one machine: real and hollow ones agree, find a killed one, and nothing is left behind."""

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
from test_emulator import PROGRAM, ROOT, running_below

from sidecar.cluster.actions import MemberStateChanged
from sidecar.cluster.message import MemberState
from testbed import cli
from testbed.capacity.samples import load_all
from testbed.emulator.copies import PlayError
from testbed.scale.crew import Snapshot
from testbed.scale.figures import Figures
from testbed.scale.hollow import Ground, Watch, drain
from testbed.scale.keep import kept
from testbed.scale.plan import RACK, Event, Plan, check, fitted
from testbed.scale.play import play

GENEROUS_S = 120.0  # that an event's end is waited for; never what is measured
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


def played(plan: Plan, folder: Path) -> Figures:
    said: list[str] = []
    return asyncio.run(play(plan, ROOT, PROGRAM, said.append, folder))


def test_twenty_members_agree_find_the_killed_one_and_are_told_when_discovery_is_back(tmp_path: Path) -> None:
    figures = played(SMALL, tmp_path)
    assert not [note for case in figures.cases for note in case.notes]  # each event came to its end
    found: dict[tuple[str, str, str], Any] = {
        (each.measure, each.case, each.engine): each.value for case in figures.cases for each in case.samples
    }
    for case in ("start-at-once", "kill-back"):
        assert found["member.agreed_after", case, "hollow"] > 0.0
    for engine in ("hollow", "real"):
        assert found["member.death_known", "kill", engine] > 0.0
        assert found["member.sent_datagrams", "start-at-once", engine] > 0.0
    assert found["discovery.return_told", "discovery-down-0.5s", "hollow"] > 0.0
    assert found["discovery.calls", "start-at-once", "hollow"] > 0.0
    assert found["discovery.lines", "start-at-once", "hollow"] > 0.0
    assert found["member.cpu", "kill-back-off", "real"] >= 0.0
    assert running_below(tmp_path) == []


def test_a_new_configuration_that_one_member_is_told_of_is_in_force_everywhere(tmp_path: Path) -> None:
    plan = replace(SMALL, members=10, real=2, events=(Event.START, Event.CONFIG))
    figures = played(plan, tmp_path)
    assert not [note for case in figures.cases for note in case.notes]
    found = {
        (each.measure, each.engine)
        for case in figures.cases
        for each in case.samples
        if each.case == "configuration-versions"
    }
    assert {("config.in_force", "hollow"), ("config.in_force", "real")} <= found
    assert ("config.known_everywhere", "real") in found


_ENDED = """
import asyncio, sys
from pathlib import Path
from testbed.scale.plan import Event, Plan
from testbed.scale.play import play
plan = Plan(members=8, real=2, off=1, workers=2, events=(Event.REST,), rest_s=600.0)
asyncio.run(play(plan, Path(sys.argv[1]), sys.argv[2], print, Path(sys.argv[3])))
"""


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM, signal.SIGINT])
def test_a_run_that_is_ended_leaves_no_process(tmp_path: Path, number: signal.Signals) -> None:
    run = subprocess.Popen(
        [sys.executable, "-c", _ENDED, str(ROOT), PROGRAM, str(tmp_path)],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        _wait_for(lambda: len(running_below(tmp_path)) >= 5)  # two workers, two members, one with it off
    finally:
        run.send_signal(number)
    run.wait(GENEROUS_S)
    _wait_for(lambda: running_below(tmp_path) == [])


def _wait_for(is_so: Any) -> None:
    ends = time.monotonic() + GENEROUS_S
    while not is_so():
        assert time.monotonic() < ends
        time.sleep(0.05)


@pytest.mark.parametrize(
    ("plan", "why"),
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
def test_a_plan_that_needs_too_much_or_makes_no_sense_is_refused(plan: Plan, why: str) -> None:
    with pytest.raises(PlayError, match=why):
        check(plan)


def test_the_command_refuses_with_the_code_for_what_cannot_be_done(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(sys, "argv", ["sidecar-testbed", "scale", "-n", "20000", "--workers", "180"])
    with pytest.raises(SystemExit) as ended:
        cli.main()
    assert ended.value.code == cli.EXIT_USER_ERROR
    assert "MB are allowed" in capsys.readouterr().err


def test_everybody_is_in_one_share_and_real_ones_are_on_one_side_of_the_cut() -> None:
    plan = Plan(members=750)
    check(plan)
    shares = plan.shares()
    assert sorted(each for share in shares for each in share) == list(range(4, 750))
    assert max(len(each) for each in shares) - min(len(each) for each in shares) <= 1
    assert len(plan.rack) == RACK and min(plan.rack) == plan.real - 1
    assert len(plan.zone) == 150 and min(plan.zone) > max(plan.rack)
    assert plan.border > plan.real
    assert Event.RACK in fitted(100) and Event.RACK not in fitted(99)


def test_a_datagram_between_hollow_members_is_asked_for_once_and_a_cut_goes_both_ways() -> None:
    ground = Ground(2, _Chances([0.04, 0.06]))
    ground.loss = 0.05
    assert ground.loses(3, 4) and not ground.loses(3, 4)
    ground.loss, ground.border = 0.0, 4
    assert ground.loses(3, 4) and ground.loses(4, 3)
    assert not ground.loses(2, 3) and not ground.loses(4, 5)


class _Chances(random.Random):
    def __init__(self, given: list[float]) -> None:
        super().__init__()
        self._given = given

    def random(self) -> float:
        return self._given.pop(0)


def test_a_death_is_wrong_where_that_life_goes_on() -> None:
    ground = Ground(0, random.Random(1))
    ground.since = {5: 100}
    ground.hear(1, MemberStateChanged(5, MemberState.DEAD, 99, 2))  # an earlier life of it
    ground.hear(1, MemberStateChanged(6, MemberState.DEAD, 100, 2))  # it was killed
    ground.hear(1, MemberStateChanged(5, MemberState.LEFT, 100, 5))
    assert ground.wrongly_dead == set()
    ground.hear(1, MemberStateChanged(5, MemberState.DEAD, 100, 2))
    ground.hear(2, MemberStateChanged(5, MemberState.DEAD, 100, 2))
    assert ground.wrongly_dead == {(5, 100)}


def test_a_watch_ends_with_the_last_of_what_each_waits_for() -> None:
    watch = Watch(time.monotonic(), {1: {7, 8}, 2: {7, 8}})
    watch.heard(1, 7)
    watch.heard(3, 7)
    assert watch.took_s == {}
    watch.heard(1, 8)
    watch.forget(2)
    assert list(watch.took_s) == [1] and watch.waits == {}


def test_what_came_while_nobody_heard_is_thrown_away() -> None:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as own,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other,
    ):
        own.setblocking(False)
        own.bind(("127.0.0.1", 0))
        other.sendto(b"late", own.getsockname())
        drain(own)
        with pytest.raises(BlockingIOError):
            own.recv(1)


def _snapshot(at: float, each: int, lag_ms: tuple[float, float], cpu_s: float = 0.0) -> Snapshot:
    hollow = dict.fromkeys(range(2, 10), (each, 20 * each, each, 30 * each))
    return Snapshot(
        at, hollow, [(each, 20 * each, each, 30 * each)] * 2, (0, 0, 0), {}, [(cpu_s, 1.0)], set(), lag_ms
    )


def test_a_run_whose_machine_was_the_limit_is_kept_apart(tmp_path: Path) -> None:
    plan = Plan(members=10, real=2, workers=1)
    figures = Figures(plan)
    first = _snapshot(0.0, 0, (0.0, 0.0))
    figures.between(figures.case("rest"), first, _snapshot(10.0, 10, (4.0, 20.0)), set())
    figures.between(figures.case("kill"), first, _snapshot(10.0, 10, (80.0, 90.0)), set())
    figures.between(figures.case("zone"), first, _snapshot(10.0, 10, (4.0, 20.0), cpu_s=9.9), set())
    assert {each.case for each in figures.usable} == {"rest"}
    kept(figures, "sidecar-testbed scale", tmp_path)
    usable, unusable = sorted(load_all(tmp_path), key=lambda each: not each.valid)
    assert (usable.valid, unusable.valid) == (True, False)
    assert {each.case for each in unusable.samples} == {"kill", "zone"}
    assert "late by 80 ms" in unusable.notes and "0.99 of a core" in unusable.notes


def test_hollow_and_real_members_have_to_cost_the_same() -> None:
    plan = Plan(members=10, real=2, workers=1)
    figures = Figures(plan)
    case = figures.case("rest")
    figures.between(case, _snapshot(0.0, 0, (0.0, 0.0)), _snapshot(10.0, 10, (0.0, 0.0)), set())
    figures.judge_kinds(case)
    assert case.faults == []  # what real ones passed to eight others stands for that to nine
    last = _snapshot(10.0, 10, (0.0, 0.0))
    last.real[:] = [(5, 100, 5, 150)] * 2
    other = figures.case("rest")
    figures.between(other, _snapshot(0.0, 0, (0.0, 0.0)), last, set())
    figures.judge_kinds(other)
    assert len(other.faults) == 4
