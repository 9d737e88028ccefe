"""Selection of endpoints: best of k, subsets, zones, and the backoff after "full"."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import pytest
from helpers import MS, S, Stage, names, serve_singly, settings

from balancer import balancer
from balancer.actions import Reject
from balancer.endpoints import Endpoint
from balancer.events import EndpointEntry, Outcome
from balancer.settings import Costs


def test_selection_prefers_the_drawn_endpoint_with_the_fewest_in_flight() -> None:
    stage = Stage()
    stage.servers(names(4))  # all are drawn
    for _ in range(40):
        stage.request()
    assert set(Counter(stage.targets()).values()) == {10}


def test_selection_after_full_leaves_out_the_full_endpoints_until_all_were_tried() -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    for _ in range(4):
        stage.end(request, Outcome.FULL)
    targets = stage.targets(request)
    assert sorted(targets) == names(5)
    stage.end(request, Outcome.FULL)
    assert [action.request for action in stage.said(Reject)] == [request]


def test_selection_uses_the_only_endpoint_left() -> None:
    stage = Stage()
    stage.servers(names(1))
    assert stage.target(stage.request()) == names(1)[0]


def test_selection_draws_slower_endpoints_less() -> None:
    stage = Stage()
    stage.servers(names(12))
    slow = names(12)[0]
    for _ in range(1_500):
        request = stage.request()
        stage.wait(90 * MS if stage.target(request) == slow else 30 * MS)
        stage.end(request)
    late = Counter(stage.targets()[500:])
    assert late[slow] < 0.6 * sum(late.values()) / 12


def test_selection_weighs_by_nominal_capacity_until_responses_tell() -> None:
    stage = Stage()
    stage.servers(
        [
            EndpointEntry(name, "east", nominal_capacity=4.0 if name == names(8)[0] else 1.0)
            for name in names(8)
        ]
    )
    for _ in range(200):
        request = stage.request()
        stage.end(request)
    first = Counter(stage.targets()[:40])
    assert first[names(8)[0]] > 40 / 8


def test_selection_counts_an_abandoned_attempt_for_a_while() -> None:
    stage = Stage()
    stage.servers(names(2))
    request = stage.request("pay", remaining_us=400 * MS)
    silent = stage.target(request)
    stage.wait(395 * MS)  # answered by then, and cancelled
    stage.end(request, Outcome.CANCELLED, answered=True)
    other = stage.request("pay")
    assert stage.target(other) != silent
    again = stage.request("pay")
    assert stage.target(again) in names(2)
    stage.wait(S)
    assert stage.balancer._in_flight.at_endpoint(stage.balancer._endpoints.by_name[silent]) <= 1


def test_selection_is_not_attracted_by_quick_errors() -> None:
    stage = Stage()
    stage.servers(names(6))
    bad = names(6)[2]
    for _ in range(300):
        stage.wait(10 * MS)
        request = stage.request("pay")
        if stage.target(request) == bad:
            stage.end(request, Outcome.ERROR)
        else:
            stage.wait(40 * MS)
            stage.end(request)
    assert stage.targets().count(bad) < 300 / 6


def zones() -> list[EndpointEntry]:
    return [EndpointEntry(name, "east" if index < 4 else "west") for index, name in enumerate(names(8))]


def _crossings(stage: Stage, local_us: int, remote_us: int) -> float:
    stage.servers(zones())
    local = set(names(8)[:4])
    for _ in range(600):
        request = stage.request()
        stage.wait(local_us if stage.target(request) in local else remote_us)
        stage.end(request)
    late = stage.targets()[300:]
    return sum(server not in local for server in late) / len(late)


def test_selection_prefers_the_own_zone_while_it_is_as_quick_and_crossing_has_a_cost() -> None:
    spared = sum(
        _crossings(Stage(settings(costs=Costs(cross_zone=0.03)), seed=seed), 40 * MS, 44 * MS)
        for seed in range(5)
    )
    assert spared < 5 * 0.3


class _CountingList(list[Endpoint]):
    """A list that counts what is taken from it."""

    taken = 0

    def __iter__(self) -> Iterator[Endpoint]:
        for endpoint in super().__iter__():
            self.taken += 1
            yield endpoint


@pytest.mark.skipif(not balancer.__file__.endswith(".py"), reason="what is compiled can't be watched")
def test_selection_does_not_walk_the_complete_list() -> None:
    stage = Stage(settings(costs=Costs(cross_zone=0.03)))
    stage.servers(
        [EndpointEntry(name, "east" if index % 2 else "west") for index, name in enumerate(names(400))]
    )
    stage.serve(20)
    walked = stage.balancer._endpoints.available = _CountingList(stage.balancer._endpoints.available)
    stage.serve(100)
    assert walked.taken < 100 * 20


def test_selection_leaves_a_slow_own_zone() -> None:
    assert _crossings(Stage(settings(costs=Costs(cross_zone=0.03))), 90 * MS, 40 * MS) > 0.5


@pytest.mark.skipif(not balancer.__file__.endswith(".py"), reason="what is compiled can't be watched")
def test_selection_draws_slow_endpoints_less_for_heavy_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stage = Stage()
    stage.servers(
        [
            EndpointEntry(name, "east", nominal_capacity=0.5 if name == names(5)[0] else 1.0)
            for name in names(5)
        ]
    )
    seen: list[float] = []
    drawn = stage.balancer._selector._draw

    def watch(pool: list[Endpoint], odds: list[float], count: int) -> list[Endpoint]:
        seen.append(odds[0] / odds[1])
        return drawn(pool, odds, count)

    monkeypatch.setattr(stage.balancer._selector, "_draw", watch)
    for cost in (20 * MS, 20 * MS, 100 * MS):
        stage.end(stage.request(cost_us=cost))
    assert seen[2] < 0.5 * seen[0]


def test_selection_draws_an_endpoint_with_an_error_for_every_other_request_less() -> None:
    stage = Stage()
    stage.servers(names(12))
    bad = names(12)[3]
    errors = 0
    for _ in range(1_200):
        request = stage.request("pay")
        target = stage.target(request)
        stage.wait(5 * MS if target == bad else 40 * MS)
        errors += target == bad
        stage.end(request, Outcome.ERROR if target == bad and errors % 2 else Outcome.DELIVERED)
    assert stage.targets()[400:].count(bad) < 0.5 * 800 / 12


def test_subset_of_a_small_balancer_is_small_and_replaced_when_its_endpoints_drain() -> None:
    stage = Stage()
    stage.servers(names(60))
    serve_singly(stage, 200)
    met = set(stage.targets())
    assert 2 <= len(met) <= 8
    for gone in met:
        stage.drain(gone)
    serve_singly(stage, 50)
    later = set(stage.targets()[200:])
    assert later and not later & met


def test_subset_of_a_busy_balancer_is_the_complete_list() -> None:
    stage = Stage()
    stage.servers(names(30))
    stage.serve(2_000, every_us=5 * MS, taking_us=250 * MS)
    assert len(set(stage.targets())) == 30


def test_subsets_of_small_balancers_differ() -> None:
    first: set[str] = set()
    for seed in range(12):
        stage = Stage(seed=seed)
        stage.servers(names(60))
        serve_singly(stage, 20)
        first |= set(stage.targets())
    assert len(first) > 25


def test_relative_latency_moves_faster_where_responses_are_few() -> None:
    def change(every_us: int, taking_us: int, singly: bool) -> float:
        stage = Stage()
        stage.servers(names(4))
        if singly:
            serve_singly(stage, 400, taking_us, every_us)
        else:
            stage.serve(400, every_us, taking_us)
        request = stage.request()
        server = stage.balancer._endpoints.by_name[stage.target(request)]
        stage.wait(2 * taking_us)
        before = server.relative_latency
        stage.end(request)
        return server.relative_latency - before

    assert change(400 * MS, 60 * MS, True) > 2 * change(5 * MS, 60 * MS, False) > 0.0


def _small_crossings(price: float, taking_us: int) -> float:
    """The part of a small balancer's requests that leaves its zone; one server in four is in it."""
    remote = 0
    for seed in range(6):
        stage = Stage(settings(costs=Costs(cross_zone=price)), seed=seed)
        stage.servers(
            [
                EndpointEntry(name, "east" if index % 4 == 0 else "west")
                for index, name in enumerate(names(40))
            ]
        )
        local = set(names(40)[::4])
        serve_singly(stage, 150, taking_us)
        remote += sum(server not in local for server in stage.targets()[50:])
    return remote / (6 * 100)


def test_subset_of_a_small_balancer_is_mostly_in_its_own_zone_where_crossing_has_a_cost() -> None:
    assert _small_crossings(0.05, 40 * MS) < 0.4
    assert _small_crossings(0.0, 40 * MS) > 0.6


def test_zone_weights_even_out_as_the_typical_latency_ratio_rises() -> None:
    assert _small_crossings(0.05, 180 * MS) > _small_crossings(0.05, 40 * MS) + 0.15


def test_full_backoff_of_one_class_leaves_the_endpoint_to_others() -> None:
    stage = Stage()
    stage.servers(names(12))
    serve_singly(stage, 10)
    first = stage.request()
    shunning = stage.target(first)
    stage.end(first)
    tried = used = 0
    for _ in range(200):
        stage.wait(200 * MS)
        for kind in ("pay", "look"):
            request = stage.request(kind)
            rejected = kind == "pay" and stage.target(request) == shunning
            tried += rejected
            used += kind == "look" and stage.target(request) == shunning
            if rejected:
                stage.wait(10 * MS)
                stage.end(request, Outcome.FULL)
            stage.wait(40 * MS)
            stage.end(request)
    assert 1 <= tried < 30 and used > 30


def test_full_backoff_gives_way_where_no_other_endpoint_is_left() -> None:
    stage = Stage(settings(limits={"max_attempts": 1}))
    stage.servers(names(1))
    stage.end(stage.request("pay"), Outcome.FULL)
    assert len(stage.sends(stage.request("pay"))) == 1
