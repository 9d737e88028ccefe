"""Scenarios: the errors of an invalid file, and what holds for the runs drawn from a valid one."""

from __future__ import annotations

import msgspec
import pytest

from testbed.scenario import (
    Arrival,
    ScenarioError,
    ScenarioRun,
    draw_arrivals,
    draw_run,
    read_scenario,
    shipped_scenarios,
)
from testbed.scenario.read import parse_scenario

SMALL = """
name = "small"
seconds = 20
[[classes]]
name = "look"
share = 3
work_ms = [2, 8]
[[classes]]
name = "book"
repeat = "non_idempotent"
[[zones]]
name = "east"
[[zones]]
name = "west"
[[servers]]
count = 6
speed = [0.5, 1.5]
[sidecars]
count = 4
[clients]
rate_per_s = 100
[[troubles]]
kind = "crash"
at_s = [2, 4]
for_s = 1
who = ["server:50%"]
[[troubles]]
kind = "term"
at_s = 5
step_s = 1
who = ["copy:*"]
"""


def test_all_errors_of_a_file_are_reported_with_key_value_and_what_is_allowed() -> None:
    invalid = SMALL.replace("share = 3", "share = -3").replace("count = 4", 'count = "many"\ncolour = "red"')
    invalid = invalid.replace('who = ["server:50%"]', 'who = ["sever:1"]')
    with pytest.raises(ScenarioError) as raised:
        parse_scenario(invalid, "wrong.toml")
    by_key = {error.partition(":")[0]: error for error in raised.value.errors}
    assert {"classes[0].share", "sidecars.count", "sidecars.colour", "troubles[0].who[0]"} <= set(by_key)
    assert "-3" in by_key["classes[0].share"] and "from 0.001" in by_key["classes[0].share"]
    assert "unknown key: remove it" in by_key["sidecars.colour"]


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('name = "book"', 'name = "look"', "classes: the name 'look' is used more than once"),
        ("count = 6", 'count = 6\nzone = "north"', "servers[0].zone: 'north' is none of zones: east, west"),
        ("at_s = 5", "at_s = 50", "troubles[1].at_s: must be before the end of the run at 20 s"),
        ('who = ["copy:*"]', 'who = ["server:1"]', "troubles[1]: term does not apply to 'server:1'"),
        ('kind = "term"', 'kind = "upgrade"', "troubles[1]: an upgrade requires sidecars.operated = true"),
        ("[clients]", "[clients", "invalid TOML"),
    ],
    ids=lambda value: value if isinstance(value, str) and len(value) < 20 else "",
)
def test_inconsistent_file_is_rejected(old: str, new: str, expected: str) -> None:
    with pytest.raises(ScenarioError) as raised:
        parse_scenario(SMALL.replace(old, new), "wrong.toml")
    assert any(error.startswith(expected) for error in raised.value.errors), raised.value.errors


def test_run_and_arrivals_depend_on_the_seed_alone() -> None:
    scenario = parse_scenario(SMALL, "small")
    assert draw_run(scenario, 5) == draw_run(scenario, 5)
    assert draw_arrivals(draw_run(scenario, 5)) == draw_arrivals(draw_run(scenario, 5))
    assert draw_run(scenario, 5) != draw_run(scenario, 6)


def test_change_of_one_quantity_does_not_change_what_is_drawn_for_others() -> None:
    before = draw_run(parse_scenario(SMALL, "small"), 5)
    after = draw_run(parse_scenario(SMALL.replace("rate_per_s = 100", "rate_per_s = [50, 60]"), "small"), 5)
    assert after.clients.rate_per_s != before.clients.rate_per_s
    assert (after.servers, after.classes, after.faults) == (before.servers, before.classes, before.faults)


def test_run_is_decoded_from_json_as_it_was_encoded() -> None:
    run = draw_run(parse_scenario(SMALL, "small"), 5)
    assert msgspec.json.decode(msgspec.json.encode(run), type=ScenarioRun) == run


def test_ranges_percentages_and_staggered_faults_are_drawn_within_their_bounds() -> None:
    run = draw_run(parse_scenario(SMALL, "small"), 5)
    assert all(0.5 <= server.speed <= 1.5 for server in run.servers)
    assert len({server.speed for server in run.servers}) == 6
    crash, *terms = run.faults
    assert 2_000_000 <= crash.start_us <= 4_000_000 and crash.end_us == crash.start_us + 1_000_000
    assert len(crash.parties) == 3 and len(set(crash.parties)) == 3
    assert [(fault.start_us, fault.parties) for fault in terms] == [
        (5_000_000 + number * 1_000_000, (f"copy:{number}",)) for number in range(4)
    ]


def test_arrivals_follow_the_rate_the_shares_and_a_surge() -> None:
    surge = '[[troubles]]\nkind = "surge"\nat_s = 10\nfor_s = 5\namount = 3\n'
    run = draw_run(parse_scenario(SMALL.replace("seconds = 20", "seconds = 200") + surge, "small"), 5)
    drawn: list[Arrival] = draw_arrivals(run)
    assert [arrival.at_us for arrival in drawn] == sorted(arrival.at_us for arrival in drawn)
    during_surge = sum(10_000_000 <= arrival.at_us < 15_000_000 for arrival in drawn)
    assert 1_300 < during_surge < 1_700  # 5 s at 300 a second
    later = [arrival for arrival in drawn if arrival.at_us >= 15_000_000]
    assert 17_900 < len(later) < 19_100  # 185 s at 100 a second
    assert 0.73 < sum(arrival.service_class == 0 for arrival in later) / len(later) < 0.77


@pytest.mark.parametrize("name", shipped_scenarios())
def test_shipped_scenario_can_be_drawn(name: str) -> None:
    run = draw_run(read_scenario(name), 1)
    assert run.scenario == name and draw_arrivals(run)
