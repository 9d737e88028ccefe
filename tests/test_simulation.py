"""The simulation: reproducible event logs, invariants under faults, and results known in closed form."""

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
from testbed.simulation.play import play, play_to_file
from testbed.simulation.policies import POLICIES, TrueStateBestOfFour


def simulate(run: ScenarioRun, policy: str = "module") -> list[log.Event]:
    events: list[log.Event] = []
    play(run, policy, events.append)
    return events


def test_same_run_gives_the_same_event_log(tmp_path: Path) -> None:
    run = draw_run(read_scenario("zone-lost"), 3)
    for name in ("one", "other"):
        play_to_file(run, "module", tmp_path / name)
    assert (tmp_path / "one").read_bytes() == (tmp_path / "other").read_bytes()


@pytest.mark.parametrize("scenario", [name for name in shipped_scenarios() if name != "fleet"])
def test_balancer_keeps_the_invariants_in_every_shipped_scenario(scenario: str) -> None:
    verdict = check_invariants(simulate(draw_run(read_scenario(scenario), 2)))
    assert verdict.label == "kept", verdict.violations[:3]


@pytest.mark.parametrize("policy", sorted(POLICIES))
def test_every_policy_answers_the_requests_that_it_accepts(policy: str) -> None:
    events = simulate(draw_run(read_scenario("three-copies"), 4), policy)
    violations = check_invariants(events).violations
    assert {violation.invariant for violation in violations} <= {"drained", "cold"}
    assert compute_account(events).served_fraction > 0.8


def test_balancer_serves_more_than_random_selection_with_bad_servers() -> None:
    run = draw_run(read_scenario("bad-servers"), 1)
    served = {
        policy: compute_account(simulate(run, policy)).served_fraction
        for policy in ("module", "random", "best-of-2")
    }
    assert served["module"] > max(served["random"], served["best-of-2"]) + 0.02


ALL_FAULTS = (
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


def test_endpoint_list_at_the_start_of_a_process_counts_as_notified() -> None:
    """A server has left the list, and returns to it while a replica is down.

    The replica's next process learns of the return from the list with which it starts, so that it may use the
    server at once.
    """
    faults = (
        fault_table("drain", 1, 1, who=["server:1"])
        + fault_table("kill", 2.5, 4, who=["copy:0"])
        + fault_table("crash", 3, 1, who=["server:1"])
    )
    scenario = SCENARIO.replace("rate_per_s = 10", "rate_per_s = 60") + faults
    events = simulate(draw_run(parse_scenario(scenario, "back"), 1))
    assert check_invariants(events).violations == ()
    attempts = [event for event in events if isinstance(event, log.AttemptReceived)]
    late = [attempt for attempt in attempts if attempt.at_us > 7_000_000]
    assert any(attempt.server == 1 and attempt.replica == 0 for attempt in late)


@pytest.mark.parametrize("seed", range(5))
def test_balancer_keeps_the_invariants_under_all_kinds_of_faults(seed: int) -> None:
    scenario = SCENARIO.replace("count = 2", "count = 2\noperated = true").replace(
        "rate_per_s = 10", "rate_per_s = 40"
    )
    verdict = check_invariants(simulate(draw_run(parse_scenario(scenario + ALL_FAULTS, "all"), seed)))
    assert verdict.violations == () and verdict.is_complete


@pytest.mark.parametrize(("sample_size", "busy"), [(k, busy) for k in (1, 2, 3) for busy in (5, 25, 40, 47)])
def test_draws_until_an_idle_server_match_their_closed_form(sample_size: int, busy: int) -> None:
    """With nU of n servers busy, a request needs 1 / (1 - C(nU, k) / C(n, k)) draws of k servers on average.

    This is the paper's formula for servers with one slot (c = 1): a draw fails if all of its servers are
    busy.
    """
    count, requests = 50, 12_000
    settings = settings_from_wire({**replica_settings(checked_run(), 0), "bounds": {"sendCap": 10_000}})
    policy = TrueStateBestOfFour(settings, 5)
    policy.sample_size, policy.max_redraws = sample_size, 10_000
    policy.server_load = lambda server: int(int(server[2:]) < busy)
    policy.handle(
        0,
        EndpointListReceived(
            EndpointListKind.COMPLETE, [EndpointEntry(f"s-{number}") for number in range(count)]
        ),
    )
    draws = 0
    for request in range(requests):
        actions = policy.handle(0, RequestArrived(request, "look", None, None, 1_000_000))
        while True:
            draws += 1
            server = next(action.server for action in actions if isinstance(action, SendAttempt))
            is_busy = bool(policy.server_load(server))
            outcome = Outcome.FULL if is_busy else Outcome.DELIVERED
            actions = policy.handle(0, AttemptEnded(request, 0, server, outcome, 1, not is_busy))
            if not is_busy:
                break
    expected = 1 / (1 - comb(busy, sample_size) / comb(count, sample_size))
    assert draws / requests == pytest.approx(expected, rel=0.02)


def test_baseline_runs_behind_the_simulators_wire_protocol() -> None:
    command = [sys.executable, "-m", "testbed.simulation.wire"]
    batch = '["FRAME",1]\n["COMMIT"]\n'
    result = subprocess.run([*command, "best-of-2"], input=batch, capture_output=True, text=True, check=False)
    assert (result.returncode, result.stdout) == (0, '["DONE"]\n')
    assert subprocess.run([*command, "true-state"], capture_output=True, check=False).returncode == 2
