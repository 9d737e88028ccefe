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
    driver.receive_list(server_names(4))  # as many as are drawn
    for _ in range(40):
        driver.start_request()
    assert set(Counter(driver.targets()).values()) == {10}


def test_selection_after_full_uses_every_other_endpoint_before_rejecting() -> None:
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


def test_selection_uses_slower_endpoints_less() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(12))
    slow = server_names(12)[0]
    for _ in range(1_500):
        request = driver.start_request()
        driver.wait(90 * MS if driver.target(request) == slow else 30 * MS)
        driver.end_attempt(request)
    late = Counter(driver.targets()[500:])
    assert late[slow] < 0.6 * sum(late.values()) / 12


def test_selection_weighs_endpoints_by_nominal_capacity_before_responses() -> None:
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
    driver.wait(395 * MS)  # the final response was sent and the attempt cancelled
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


def endpoints_in_two_zones() -> list[EndpointEntry]:
    return [
        EndpointEntry(name, "east" if index < 4 else "west") for index, name in enumerate(server_names(8))
    ]


def _remote_fraction(driver: BalancerDriver, local_us: int, remote_us: int) -> float:
    driver.receive_list(endpoints_in_two_zones())
    local = set(server_names(8)[:4])
    for _ in range(600):
        request = driver.start_request()
        driver.wait(local_us if driver.target(request) in local else remote_us)
        driver.end_attempt(request)
    late = driver.targets()[300:]
    return sum(server not in local for server in late) / len(late)


def test_selection_prefers_the_local_zone_if_it_is_as_fast_and_cross_zone_has_a_cost() -> None:
    remote_fraction_sum = sum(
        _remote_fraction(BalancerDriver(settings(costs=Costs(cross_zone=0.03)), seed=seed), 40 * MS, 44 * MS)
        for seed in range(5)
    )
    assert remote_fraction_sum < 5 * 0.3


class _CountingList(list[Endpoint]):
    """A list that counts the elements read by iteration."""

    read_count = 0

    def __iter__(self) -> Iterator[Endpoint]:
        for endpoint in super().__iter__():
            self.read_count += 1
            yield endpoint


@pytest.mark.skipif(not balancer.__file__.endswith(".py"), reason="compiled classes can't be patched")
def test_selection_does_not_walk_the_complete_list() -> None:
    driver = BalancerDriver(settings(costs=Costs(cross_zone=0.03)))
    driver.receive_list(
        [EndpointEntry(name, "east" if index % 2 else "west") for index, name in enumerate(server_names(400))]
    )
    driver.serve_traffic(20)
    watched_list = driver.balancer._endpoints.available = _CountingList(driver.balancer._endpoints.available)
    driver.serve_traffic(100)
    assert watched_list.read_count < 100 * 20


def test_selection_prefers_other_zones_to_a_slow_local_zone() -> None:
    assert _remote_fraction(BalancerDriver(settings(costs=Costs(cross_zone=0.03))), 90 * MS, 40 * MS) > 0.5


@pytest.mark.skipif(not balancer.__file__.endswith(".py"), reason="compiled classes can't be patched")
def test_selection_gives_slow_endpoints_less_weight_for_requests_of_high_cost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    driver = BalancerDriver()
    driver.receive_list(
        [
            EndpointEntry(name, "east", nominal_capacity=0.5 if name == server_names(5)[0] else 1.0)
            for name in server_names(5)
        ]
    )
    weight_ratios: list[float] = []
    draw = driver.balancer._selector._draw

    def record_weights(pool: list[Endpoint], weights: list[float], count: int) -> list[Endpoint]:
        weight_ratios.append(weights[0] / weights[1])
        return draw(pool, weights, count)

    monkeypatch.setattr(driver.balancer._selector, "_draw", record_weights)
    for cost in (20 * MS, 20 * MS, 100 * MS):
        driver.end_attempt(driver.start_request(cost_us=cost))
    assert weight_ratios[2] < 0.5 * weight_ratios[0]


def test_selection_uses_an_endpoint_with_every_other_response_an_error_less() -> None:
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
    first_targets = set(driver.targets())
    assert 2 <= len(first_targets) <= 8
    for server in first_targets:
        driver.drain(server)
    serve_singly(driver, 50)
    later = set(driver.targets()[200:])
    assert later and not later & first_targets


def test_subset_of_a_busy_balancer_is_the_complete_list() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(30))
    driver.serve_traffic(2_000, every_us=5 * MS, taking_us=250 * MS)
    assert len(set(driver.targets())) == 30


def test_subsets_of_small_balancers_differ() -> None:
    targets: set[str] = set()
    for seed in range(12):
        driver = BalancerDriver(seed=seed)
        driver.receive_list(server_names(60))
        serve_singly(driver, 20)
        targets |= set(driver.targets())
    assert len(targets) > 25


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


def _remote_fraction_of_a_small_balancer(cross_zone_cost: float, taking_us: int) -> float:
    """Return the fraction of requests sent to other zones, where a quarter of the servers is local."""
    remote = 0
    for seed in range(6):
        driver = BalancerDriver(settings(costs=Costs(cross_zone=cross_zone_cost)), seed=seed)
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


def test_subset_of_a_small_balancer_is_mostly_local_if_cross_zone_has_a_cost() -> None:
    assert _remote_fraction_of_a_small_balancer(0.05, 40 * MS) < 0.4
    assert _remote_fraction_of_a_small_balancer(0.0, 40 * MS) > 0.6


def test_zone_weights_even_out_as_the_mean_latency_ratio_rises() -> None:
    assert (
        _remote_fraction_of_a_small_balancer(0.05, 180 * MS)
        > _remote_fraction_of_a_small_balancer(0.05, 40 * MS) + 0.15
    )


def test_full_backoff_of_one_class_does_not_affect_other_classes() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(12))
    serve_singly(driver, 10)
    first = driver.start_request()
    full_server = driver.target(first)
    driver.end_attempt(first)
    rejected_count = used_count = 0
    for _ in range(200):
        driver.wait(200 * MS)
        for class_name in ("pay", "look"):
            request = driver.start_request(class_name)
            is_rejected = class_name == "pay" and driver.target(request) == full_server
            rejected_count += is_rejected
            used_count += class_name == "look" and driver.target(request) == full_server
            if is_rejected:
                driver.wait(10 * MS)
                driver.end_attempt(request, Outcome.FULL)
            driver.wait(40 * MS)
            driver.end_attempt(request)
    assert 1 <= rejected_count < 30 and used_count > 30


def test_full_backoff_is_ignored_if_no_other_endpoint_is_left() -> None:
    driver = BalancerDriver(settings(limits={"max_attempts": 1}))
    driver.receive_list(server_names(1))
    driver.end_attempt(driver.start_request("pay"), Outcome.FULL)
    assert len(driver.sent_attempts(driver.start_request("pay"))) == 1
