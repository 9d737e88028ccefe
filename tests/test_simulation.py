"""The model: the same log for the same seed, and results that are known in closed form."""

from __future__ import annotations

import subprocess
import sys
from math import comb
from pathlib import Path

import pytest
from test_checker import SCENARIO, checked_run
from test_testbed_models import fault_table

from balancer.actions import SendAttempt
from balancer.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    Outcome,
    RequestArrived,
)
from balancer.settings_wire import settings_from_wire
from testbed import events as log
from testbed.checker import check_invariants, compute_account
from testbed.scenario import ScenarioRun, draw_run, read_scenario, shipped_scenarios
from testbed.scenario.read import parse_scenario
from testbed.scenario.settings import replica_settings
from testbed.simulation.play import play, play_into
from testbed.simulation.policies import POLICIES, TrueStateBestOfFour


def modelled(day: ScenarioRun, policy: str = "module") -> list[log.Event]:
    out: list[log.Event] = []
    play(day, policy, out.append)
    return out


def test_the_same_day_gives_the_same_log(tmp_path: Path) -> None:
    day = draw_run(read_scenario("zone-lost"), 3)
    for name in ("one", "other"):
        play_into(day, "module", tmp_path / name)
    assert (tmp_path / "one").read_bytes() == (tmp_path / "other").read_bytes()


@pytest.mark.parametrize("world", [each for each in shipped_scenarios() if each != "fleet"])
def test_the_module_keeps_the_rules_on_every_shipped_world(world: str) -> None:
    verdict = check_invariants(modelled(draw_run(read_scenario(world), 2)))
    assert verdict.label == "kept", verdict.violations[:3]


@pytest.mark.parametrize("policy", sorted(POLICIES))
def test_every_policy_answers_what_it_took(policy: str) -> None:
    events = modelled(draw_run(read_scenario("three-copies"), 4), policy)
    assert {each.invariant for each in check_invariants(events).violations} <= {"drained", "cold"}
    assert compute_account(events).served_fraction > 0.8


def test_bad_servers_cost_the_plain_draw_more_than_the_module() -> None:
    day = draw_run(read_scenario("bad-servers"), 1)
    served = {
        policy: compute_account(modelled(day, policy)).served_fraction
        for policy in ("module", "random", "best-of-2")
    }
    assert served["module"] > max(served["random"], served["best-of-2"]) + 0.02


ALL_TROUBLES = (
    fault_table("pause", 1, 2, who=["copy:0"])
    + fault_table("kill", 2, 1, who=["copy:1"])
    + fault_table("term", 5, 0, who=["copy:0"])
    + fault_table("upgrade", 8, 0, who=["copy:1"])
    + fault_table("hup", 9, 0, who=["copy:*"])
    + fault_table("clock", 10, 0, who=["copy:1"], amount=60.0)
    + fault_table("cut", 11, 1, between=["copy:0"], to=["discovery", "server:1"])
    + fault_table("hold", 13, 1, between=["copy:1"], to=["server:*"])
    + fault_table("discovery_down", 14, 2)
    + fault_table("silent", 15, 1, who=["server:2"])
    + fault_table("drain", 16, 1, who=["server:3"])
)


def test_what_a_copy_is_told_at_its_start_counts_as_word() -> None:
    """A server that left is back when a copy that heard of it starts again: it may be used at once."""
    text = (
        fault_table("drain", 1, 1, who=["server:1"])
        + fault_table("kill", 2.5, 4, who=["copy:0"])
        + fault_table("crash", 3, 1, who=["server:1"])
    )
    day = draw_run(parse_scenario(SCENARIO.replace("rate_per_s = 10", "rate_per_s = 60") + text, "back"), 1)
    events = modelled(day)
    assert check_invariants(events).violations == ()
    late = [each for each in events if isinstance(each, log.AttemptReceived) and each.at_us > 7_000_000]
    assert any(each.server == 1 and each.replica == 0 for each in late)


@pytest.mark.parametrize("seed", range(5))
def test_every_trouble_at_once_keeps_the_rules(seed: int) -> None:
    world = SCENARIO.replace("count = 2", "count = 2\noperated = true").replace(
        "rate_per_s = 10", "rate_per_s = 40"
    )
    verdict = check_invariants(modelled(draw_run(parse_scenario(world + ALL_TROUBLES, "all"), seed)))
    assert verdict.violations == () and verdict.is_complete


@pytest.mark.parametrize(("drawn", "busy"), [(k, busy) for k in (1, 2, 3) for busy in (5, 25, 40, 47)])
def test_draws_until_an_idle_server_are_those_of_the_paper(drawn: int, busy: int) -> None:
    """1 / (1 - C(nU, k) / C(n, k)): the draws that a request needs where nU of n servers are busy, c = 1."""
    count, requests = 50, 12_000
    given = settings_from_wire({**replica_settings(checked_run(), 0), "bounds": {"sendCap": 10_000}})
    policy = TrueStateBestOfFour(given, 5)
    policy.sample_size, policy.max_redraws = drawn, 10_000
    policy.server_load = lambda server: int(int(server[2:]) < busy)
    policy.handle(
        0,
        EndpointListReceived(
            EndpointListKind.COMPLETE, [EndpointEntry(f"s-{each}") for each in range(count)]
        ),
    )
    draws = 0
    for number in range(requests):
        actions = policy.handle(0, RequestArrived(number, "look", None, None, 1_000_000))
        while True:
            draws += 1
            server = next(each.server for each in actions if isinstance(each, SendAttempt))
            is_busy = bool(policy.server_load(server))
            outcome = Outcome.FULL if is_busy else Outcome.DELIVERED
            actions = policy.handle(0, AttemptEnded(number, 0, server, outcome, 1, not is_busy))
            if not is_busy:
                break
    expected = 1 / (1 - comb(busy, drawn) / comb(count, drawn))
    assert draws / requests == pytest.approx(expected, rel=0.02)


def test_a_baseline_speaks_on_the_simulators_wire() -> None:
    command = [sys.executable, "-m", "testbed.simulation.wire"]
    batch = '["FRAME",1]\n["COMMIT"]\n'
    done = subprocess.run([*command, "best-of-2"], input=batch, capture_output=True, text=True, check=False)
    assert (done.returncode, done.stdout) == (0, '["DONE"]\n')
    assert subprocess.run([*command, "true-state"], capture_output=True, check=False).returncode == 2
