"""Selection of endpoints: best of k, subsets, zones, and the backoff after "full"."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import pytest
from helpers import MS, BalancerDriver, S, serve_singly, server_names, settings

from balancer import balancer
from balancer.actions import Reject
from balancer.endpoints import Endpoint
from balancer.events import EndpointEntry, Outcome
from balancer.settings import Costs


def test_selection_prefers_the_drawn_endpoint_with_the_fewest_in_flight() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))  # all are drawn
    for _ in range(40):
        driver.start_request()
    assert set(Counter(driver.targets()).values()) == {10}


def test_selection_after_full_leaves_out_the_full_endpoints_until_all_were_tried() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    request = driver.start_request("pay")
    for _ in range(4):
        driver.end_attempt(request, Outcome.FULL)
    targets = driver.targets(request)
    assert sorted(targets) == server_names(5)
    driver.end_attempt(request, Outcome.FULL)
    assert [action.request for action in driver.actions_of(Reject)] == [request]


def test_selection_uses_the_only_endpoint_left() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(1))
    assert driver.target(driver.start_request()) == server_names(1)[0]


def test_selection_draws_slower_endpoints_less() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(12))
    slow = server_names(12)[0]
    for _ in range(1_500):
        request = driver.start_request()
        driver.wait(90 * MS if driver.target(request) == slow else 30 * MS)
        driver.end_attempt(request)
    late = Counter(driver.targets()[500:])
    assert late[slow] < 0.6 * sum(late.values()) / 12


def test_selection_weighs_by_nominal_capacity_until_responses_tell() -> None:
    driver = BalancerDriver()
    driver.receive_list(
        [
            EndpointEntry(name, "east", nominal_capacity=4.0 if name == server_names(8)[0] else 1.0)
            for name in server_names(8)
        ]
    )
    for _ in range(200):
        request = driver.start_request()
        driver.end_attempt(request)
    first = Counter(driver.targets()[:40])
    assert first[server_names(8)[0]] > 40 / 8


def test_selection_counts_an_abandoned_attempt_for_a_while() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(2))
    request = driver.start_request("pay", remaining_us=400 * MS)
    silent = driver.target(request)
    driver.wait(395 * MS)  # answered by then, and cancelled
    driver.end_attempt(request, Outcome.CANCELLED, answered=True)
    other = driver.start_request("pay")
    assert driver.target(other) != silent
    again = driver.start_request("pay")
    assert driver.target(again) in server_names(2)
    driver.wait(S)
    assert driver.balancer._in_flight.at_endpoint(driver.balancer._endpoints.by_name[silent]) <= 1


def test_selection_is_not_attracted_by_quick_errors() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(6))
    bad = server_names(6)[2]
    for _ in range(300):
        driver.wait(10 * MS)
        request = driver.start_request("pay")
        if driver.target(request) == bad:
            driver.end_attempt(request, Outcome.ERROR)
        else:
            driver.wait(40 * MS)
            driver.end_attempt(request)
    assert driver.targets().count(bad) < 300 / 6


def zones() -> list[EndpointEntry]:
    return [
        EndpointEntry(name, "east" if index < 4 else "west") for index, name in enumerate(server_names(8))
    ]


def _crossings(driver: BalancerDriver, local_us: int, remote_us: int) -> float:
    driver.receive_list(zones())
    local = set(server_names(8)[:4])
    for _ in range(600):
        request = driver.start_request()
        driver.wait(local_us if driver.target(request) in local else remote_us)
        driver.end_attempt(request)
    late = driver.targets()[300:]
    return sum(server not in local for server in late) / len(late)


def test_selection_prefers_the_own_zone_while_it_is_as_quick_and_crossing_has_a_cost() -> None:
    spared = sum(
        _crossings(BalancerDriver(settings(costs=Costs(cross_zone=0.03)), seed=seed), 40 * MS, 44 * MS)
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
    driver = BalancerDriver(settings(costs=Costs(cross_zone=0.03)))
    driver.receive_list(
        [EndpointEntry(name, "east" if index % 2 else "west") for index, name in enumerate(server_names(400))]
    )
    driver.serve_traffic(20)
    walked = driver.balancer._endpoints.available = _CountingList(driver.balancer._endpoints.available)
    driver.serve_traffic(100)
    assert walked.taken < 100 * 20


def test_selection_leaves_a_slow_own_zone() -> None:
    assert _crossings(BalancerDriver(settings(costs=Costs(cross_zone=0.03))), 90 * MS, 40 * MS) > 0.5


@pytest.mark.skipif(not balancer.__file__.endswith(".py"), reason="what is compiled can't be watched")
def test_selection_draws_slow_endpoints_less_for_heavy_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    driver = BalancerDriver()
    driver.receive_list(
        [
            EndpointEntry(name, "east", nominal_capacity=0.5 if name == server_names(5)[0] else 1.0)
            for name in server_names(5)
        ]
    )
    seen: list[float] = []
    drawn = driver.balancer._selector._draw

    def watch(pool: list[Endpoint], odds: list[float], count: int) -> list[Endpoint]:
        seen.append(odds[0] / odds[1])
        return drawn(pool, odds, count)

    monkeypatch.setattr(driver.balancer._selector, "_draw", watch)
    for cost in (20 * MS, 20 * MS, 100 * MS):
        driver.end_attempt(driver.start_request(cost_us=cost))
    assert seen[2] < 0.5 * seen[0]


def test_selection_draws_an_endpoint_with_an_error_for_every_other_request_less() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(12))
    bad = server_names(12)[3]
    errors = 0
    for _ in range(1_200):
        request = driver.start_request("pay")
        target = driver.target(request)
        driver.wait(5 * MS if target == bad else 40 * MS)
        errors += target == bad
        driver.end_attempt(request, Outcome.ERROR if target == bad and errors % 2 else Outcome.DELIVERED)
    assert driver.targets()[400:].count(bad) < 0.5 * 800 / 12


def test_subset_of_a_small_balancer_is_small_and_replaced_when_its_endpoints_drain() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(60))
    serve_singly(driver, 200)
    met = set(driver.targets())
    assert 2 <= len(met) <= 8
    for gone in met:
        driver.drain(gone)
    serve_singly(driver, 50)
    later = set(driver.targets()[200:])
    assert later and not later & met


def test_subset_of_a_busy_balancer_is_the_complete_list() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(30))
    driver.serve_traffic(2_000, every_us=5 * MS, taking_us=250 * MS)
    assert len(set(driver.targets())) == 30


def test_subsets_of_small_balancers_differ() -> None:
    first: set[str] = set()
    for seed in range(12):
        driver = BalancerDriver(seed=seed)
        driver.receive_list(server_names(60))
        serve_singly(driver, 20)
        first |= set(driver.targets())
    assert len(first) > 25


def test_relative_latency_moves_faster_where_responses_are_few() -> None:
    def change(every_us: int, taking_us: int, singly: bool) -> float:
        driver = BalancerDriver()
        driver.receive_list(server_names(4))
        if singly:
            serve_singly(driver, 400, taking_us, every_us)
        else:
            driver.serve_traffic(400, every_us, taking_us)
        request = driver.start_request()
        server = driver.balancer._endpoints.by_name[driver.target(request)]
        driver.wait(2 * taking_us)
        before = server.relative_latency
        driver.end_attempt(request)
        return server.relative_latency - before

    assert change(400 * MS, 60 * MS, True) > 2 * change(5 * MS, 60 * MS, False) > 0.0


def _small_crossings(price: float, taking_us: int) -> float:
    """The part of a small balancer's requests that leaves its zone; one server in four is in it."""
    remote = 0
    for seed in range(6):
        driver = BalancerDriver(settings(costs=Costs(cross_zone=price)), seed=seed)
        driver.receive_list(
            [
                EndpointEntry(name, "east" if index % 4 == 0 else "west")
                for index, name in enumerate(server_names(40))
            ]
        )
        local = set(server_names(40)[::4])
        serve_singly(driver, 150, taking_us)
        remote += sum(server not in local for server in driver.targets()[50:])
    return remote / (6 * 100)


def test_subset_of_a_small_balancer_is_mostly_in_its_own_zone_where_crossing_has_a_cost() -> None:
    assert _small_crossings(0.05, 40 * MS) < 0.4
    assert _small_crossings(0.0, 40 * MS) > 0.6


def test_zone_weights_even_out_as_the_typical_latency_ratio_rises() -> None:
    assert _small_crossings(0.05, 180 * MS) > _small_crossings(0.05, 40 * MS) + 0.15


def test_full_backoff_of_one_class_leaves_the_endpoint_to_others() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(12))
    serve_singly(driver, 10)
    first = driver.start_request()
    shunning = driver.target(first)
    driver.end_attempt(first)
    tried = used = 0
    for _ in range(200):
        driver.wait(200 * MS)
        for kind in ("pay", "look"):
            request = driver.start_request(kind)
            rejected = kind == "pay" and driver.target(request) == shunning
            tried += rejected
            used += kind == "look" and driver.target(request) == shunning
            if rejected:
                driver.wait(10 * MS)
                driver.end_attempt(request, Outcome.FULL)
            driver.wait(40 * MS)
            driver.end_attempt(request)
    assert 1 <= tried < 30 and used > 30


def test_full_backoff_gives_way_where_no_other_endpoint_is_left() -> None:
    driver = BalancerDriver(settings(limits={"max_attempts": 1}))
    driver.receive_list(server_names(1))
    driver.end_attempt(driver.start_request("pay"), Outcome.FULL)
    assert len(driver.sent_attempts(driver.start_request("pay"))) == 1
