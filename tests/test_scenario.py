"""Worlds: what a wrong file is told, and what a day drawn from a right one keeps."""

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


def test_every_fault_is_told_at_once_by_key_value_and_remedy() -> None:
    wrong = SMALL.replace("share = 3", "share = -3").replace("count = 4", 'count = "many"\ncolour = "red"')
    wrong = wrong.replace('who = ["server:50%"]', 'who = ["sever:1"]')
    with pytest.raises(ScenarioError) as told:
        parse_scenario(wrong, "wrong.toml")
    by_key = {fault.partition(":")[0]: fault for fault in told.value.errors}
    assert {"classes[0].share", "sidecars.count", "sidecars.colour", "troubles[0].who[0]"} <= set(by_key)
    assert "-3" in by_key["classes[0].share"] and "from 0.001" in by_key["classes[0].share"]
    assert "take it out" in by_key["sidecars.colour"]


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ('name = "book"', 'name = "look"', "classes: the name 'look' stands twice"),
        ("count = 6", 'count = 6\nzone = "north"', "servers[0].zone: 'north' is none of zones: east, west"),
        ("at_s = 5", "at_s = 50", "troubles[1].at_s: begins after the day's 20 s"),
        ('who = ["copy:*"]', 'who = ["server:1"]', "troubles[1]: term does not happen to 'server:1'"),
        ('kind = "term"', 'kind = "upgrade"', "troubles[1]: an upgrade needs sidecars.operated = true"),
        ("[clients]", "[clients", "no TOML"),
    ],
    ids=lambda each: each if isinstance(each, str) and len(each) < 20 else "",
)
def test_contradictions_are_told(old: str, new: str, told: str) -> None:
    with pytest.raises(ScenarioError) as fault:
        parse_scenario(SMALL.replace(old, new), "wrong.toml")
    assert any(each.startswith(told) for each in fault.value.errors), fault.value.errors


def test_the_same_seed_draws_the_same_day_and_another_another() -> None:
    world = parse_scenario(SMALL, "small")
    assert draw_run(world, 5) == draw_run(world, 5) and draw_arrivals(draw_run(world, 5)) == draw_arrivals(
        draw_run(world, 5)
    )
    assert draw_run(world, 5) != draw_run(world, 6)


def test_one_figure_more_shifts_no_other() -> None:
    before = draw_run(parse_scenario(SMALL, "small"), 5)
    after = draw_run(parse_scenario(SMALL.replace("rate_per_s = 100", "rate_per_s = [50, 60]"), "small"), 5)
    assert after.clients.rate_per_s != before.clients.rate_per_s
    assert (after.servers, after.classes, after.faults) == (before.servers, before.classes, before.faults)


def test_a_day_is_plain_data_that_survives_json() -> None:
    day = draw_run(parse_scenario(SMALL, "small"), 5)
    assert msgspec.json.decode(msgspec.json.encode(day), type=ScenarioRun) == day


def test_ranges_parts_and_steps_are_drawn_within_their_bounds() -> None:
    day = draw_run(parse_scenario(SMALL, "small"), 5)
    assert all(0.5 <= each.speed <= 1.5 for each in day.servers)
    assert len({each.speed for each in day.servers}) == 6
    crash, *terms = day.faults
    assert 2_000_000 <= crash.start_us <= 4_000_000 and crash.end_us == crash.start_us + 1_000_000
    assert len(crash.parties) == 3 and len(set(crash.parties)) == 3
    assert [(each.start_us, each.parties) for each in terms] == [
        (5_000_000 + number * 1_000_000, (f"copy:{number}",)) for number in range(4)
    ]


def test_arrivals_follow_rate_shares_and_surge() -> None:
    surge = '[[troubles]]\nkind = "surge"\nat_s = 10\nfor_s = 5\namount = 3\n'
    day = draw_run(parse_scenario(SMALL.replace("seconds = 20", "seconds = 200") + surge, "small"), 5)
    came: list[Arrival] = draw_arrivals(day)
    assert [each.at_us for each in came] == sorted(each.at_us for each in came)
    during = sum(10_000_000 <= each.at_us < 15_000_000 for each in came)
    assert 1_300 < during < 1_700  # 5 s at 300 a second
    rest = [each for each in came if each.at_us >= 15_000_000]
    assert 17_900 < len(rest) < 19_100  # 185 s at 100 a second
    assert 0.73 < sum(each.service_class == 0 for each in rest) / len(rest) < 0.77


@pytest.mark.parametrize("name", shipped_scenarios())
def test_shipped_worlds_can_be_played(name: str) -> None:
    day = draw_run(read_scenario(name), 1)
    assert day.scenario == name and draw_arrivals(day)
