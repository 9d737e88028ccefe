"""The data path's benches: their arithmetic, and each once, as small as can be."""

from __future__ import annotations

from pathlib import Path

import pytest

from bench import decide, member, path, stages, startup
from bench.listed import listed
from bench.openloop import OpenLoop, Played, answer_length, arrivals, quantile
from bench.path import DIRECT, RELAY, Block, Blocks
from bench.process import HOST
from bench.sidecars import behind, configuration
from bench.spread import spread


def test_a_quantile_is_a_value_that_was_seen() -> None:
    values = [float(each) for each in range(1_000, 0, -1)]
    assert [quantile(values, part) for part in (0.0, 0.5, 0.99, 0.999, 1.0)] == [1, 501, 991, 1_000, 1_000]
    with pytest.raises(ValueError, match="nothing"):
        quantile([], 0.5)


def test_arrivals_come_by_chance_at_the_rate_and_the_same_for_a_seed() -> None:
    due = arrivals(500.0, 20.0, 1)
    assert due == arrivals(500.0, 20.0, 1) != arrivals(500.0, 20.0, 2)
    assert due == sorted(due) and due[0] > 0.0 and due[-1] < 20.0
    assert len(due) == pytest.approx(10_000, rel=0.05)


def test_the_length_of_an_answer_is_read_in_any_case() -> None:
    assert answer_length(b"HTTP/1.1 200 OK\r\nCONTENT-Length:  6\r\nx: y") == 6
    with pytest.raises(ValueError, match="invalid literal"):
        answer_length(b"HTTP/1.1 200 OK")


def _block(latency: float, late: float = 0.5, bad: int = 0, cpu_us: float = 100.0) -> Block:
    return Block(Played(10, bad, 0, [latency] * 10, [late] * 10), cpu_us)


def _found(through: list[Block], relay: list[Block], direct: list[Block]) -> Blocks:
    out = Blocks()
    for way, blocks in ((20, through), (RELAY, relay), (DIRECT, direct)):
        for each in blocks:
            out.add(way, 293.0, each)
    return out


def test_what_is_added_is_the_difference_of_quantiles_by_round() -> None:
    found = _found(
        [_block(500.0, cpu_us=300.0), _block(700.0, cpu_us=400.0)],
        [_block(150.0, cpu_us=100.0), _block(160.0, cpu_us=100.0)],
        [_block(100.0), _block(200.0)],
    )
    assert path.differences(found, 20, 293.0, "median") == [400.0, 500.0]
    assert path.differences(found, 20, 293.0, "p999") == [500.0]  # of all rounds together
    values = {(each.measure, each.size, each.part, each.seed): each.value for each in path.samples(found)}
    assert values["path.added_us", 20, "median", 2] == 500.0
    assert values["path.cpu_us", 20, "mean", 1] == 300.0 and values["path.cpu_ratio", 20, "mean", 2] == 4.0
    assert values["path.relay_cpu_us", 0, "mean", 1] == 100.0
    assert values["path.tool_late_us", 20, "p99", 0] == 0.5
    assert path.lost(found) == ([], ["relay at 293/s, p999: added -40 us, tool late by 0"])
    assert path.failures(found) == []
    kept = {each.measure for each in path.of_processor(path.samples(found))}
    late = {"path.tool_late_us", "path.relay_tool_late_us", "path.direct_tool_late_us"}
    assert kept == {"path.cpu_us", "path.relay_cpu_us", "path.cpu_ratio", *late}


def test_a_run_with_a_late_tool_or_failed_calls_is_not_valid_and_says_so() -> None:
    late = _found([_block(500.0, late=450.0)], [_block(150.0)], [_block(100.0)])
    wrong, left_out = path.lost(late)
    assert len(wrong) == 2 and all("tool late by 450" in each for each in wrong)
    assert left_out == ["20 servers at 293/s, p999: added 400 us, tool late by 450"]
    assert not [each for each in path.samples(late) if each.measure == "path.added_us"]
    failed = _found([_block(500.0, bad=1)], [_block(150.0)], [_block(100.0)])
    assert path.failures(failed) == ["20 servers at 293/s: 1 of 10 calls failed"]


def test_a_late_direct_call_counts_as_well() -> None:
    found = _found([_block(500.0)], [_block(150.0)], [_block(100.0, late=450.0)])
    assert len(path.lost(found)[0]) == 2


def test_a_spread_has_a_99th_only_where_there_are_many() -> None:
    few = {each.part: each.value for each in spread("a.b", 1, [3.0, 1.0, 2.0], "us")}
    assert few == {"min": 1.0, "median": 2.0, "max": 3.0}
    many = {each.part: each.value for each in spread("a.b", 1, [float(each) for each in range(1_000)], "us")}
    assert many["p99"] == 990.0


def test_a_list_has_distinct_servers_in_five_zones() -> None:
    servers = listed(range(2_000, 2_020))["servers"]
    assert len({each["id"] for each in servers}) == len({each["addr"] for each in servers}) == 20
    assert {each["zone"] for each in servers} == {"z0", "z1", "z2", "z3", "z4"}


def test_every_call_of_the_load_is_answered_or_counted_as_bad() -> None:
    with behind([1, 3]) as stand:
        assert len(stand.servers) == 3 and set(stand.discovery) == {1, 3}
        load = OpenLoop((HOST, stand.servers[2]), connections=2)
        try:
            for seed in (1, 2):
                played = load.play(200.0, 0.3, seed)
                assert played.asked == len(arrivals(200.0, 0.3, seed))
                assert played.asked == len(played.latencies_us) + played.bad
                assert len(played.late_us) + played.crowded == played.asked
        finally:
            load.close()


def test_a_small_run_plays_every_way_in_each_round() -> None:
    found = path.measure((3,), (100.0,), 2, 0.05)
    assert set(found.of) == {(3, 100.0), (RELAY, 100.0), (DIRECT, 100.0)}
    assert all(len(blocks) == 2 for blocks in found.of.values())
    assert all(block.cpu_us > 0.0 for block in found.of[3, 100.0])


def test_the_decisions_place_all_requests_in_every_case() -> None:
    for setting in decide.CASES.values():
        assert len(decide.decide_us(20, setting, 1, 50)) == 1


def test_a_list_is_taken_over_stage_by_stage() -> None:
    found = decide.lists((2, 20), rounds=2)
    size = {each.size: each.value for each in found if each.measure == "list.bytes"}
    assert 0 < size[2] < size[20]
    assert {each.case for each in found if each.measure == "list.parse_us"} == {
        *("json", "parse", "admit", "pool", "event", "decisions", "whole")
    }


def test_membership_is_timed_at_rest_with_everybody_known() -> None:
    rest = member.Rest(50)
    for _ in range(5):
        rest.tick_us()
    size = rest.member.size()
    assert (size.present, size.suspected, size.unknown) == (50, 0, 0)
    cases = {(each.measure, each.case) for each in member.times(50, 3)}
    assert ("member.tick_us", "a fifth suspected") in cases and ("member.heard_us", "views differ") in cases
    assert 0.0 < member.memory_mb(50) < member.memory_mb(500)
    assert {each.measure for each in member.figures(50, 1)} == {"telemetry.bytes", "telemetry.us"}


def test_a_stage_adds_what_it_costs_beyond_the_one_before() -> None:
    costs = {name: [stages.Cost(100.0 * place, 0.5, 2.0, 500.0)] for place, name in enumerate(stages.STAGES)}
    more = [each.value for each in stages.samples(293.0, costs) if each.measure == "path.stage_more_us"]
    assert more == [0.0, 100.0, 100.0, 100.0]


def test_the_stages_pass_calls_on(tmp_path: Path) -> None:
    with stages.stages(tmp_path) as there:
        assert tuple(there) == stages.STAGES
        for load, _ in there.values():
            played = load.play(100.0, 0.1, 1)
            assert played.asked == len(played.latencies_us) + played.bad and played.latencies_us


def test_two_processes_at_once_become_ready(tmp_path: Path) -> None:
    with behind([3]) as stand:
        took = startup.ready_s(2, tmp_path, configuration(stand.discovery[3], stand.servers))
    assert len(took) == 2


def test_a_tier_that_is_not_there_has_distinct_addresses_on_loopback() -> None:
    peers = startup.tier(750)["peers"]
    assert len(set(peers)) == 750 and all(each.startswith("127.") for each in peers)
