"""Slow-start budgets of endpoints that are warming up."""

from __future__ import annotations

import pytest
from component_factories import make_context, make_endpoint
from helpers import MS, START, BalancerDriver, S, server_names

from balancer.endpoints import EndpointTable
from balancer.events import EndpointEntry, EndpointListKind, Outcome
from balancer.in_flight import InFlightTracker
from balancer.slow_start import SlowStart


@pytest.mark.parametrize(("every_us", "burst"), [(10 * MS, 1), (200 * MS, 20), (500 * MS, 1)])
def test_warming_up_endpoint_gets_no_more_than_its_budget(every_us: int, burst: int) -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(6))
    driver.serve_traffic(300, every_us=10 * MS)
    warm_per_s = 100 / 6
    started_at = driver.now
    warming_up = EndpointEntry("10.0.0.6:80", zone="east", started_at=started_at)
    driver.receive_list([warming_up], EndpointListKind.CHANGES)
    while driver.now < started_at + 10 * S:
        requests = [driver.start_request() for _ in range(burst)]
        driver.wait(every_us)
        for request in requests:
            if driver.sent_attempts(request):
                driver.end_attempt(request)
    times = [
        at for at, attempt in driver.sent_attempts() if attempt.server == "10.0.0.6:80" and at >= started_at
    ]
    for end in times:
        capacity_fraction = 0.2 + 0.8 * max(end - 2 * S - started_at, 0) / (10 * S)
        attempts_in_window = sum(1 for at in times if end - 2 * S < at <= end)
        assert attempts_in_window <= max(1.0, 3 * capacity_fraction * warm_per_s * 2)
    assert times or burst == 1  # one at a time, the fastest known server may get all requests


def test_warming_up_endpoint_gets_at_least_the_load_that_it_can_handle() -> None:
    # Guards against servers that stay idle while warming up although the warm ones are overloaded.
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.serve_traffic(300, every_us=10 * MS, taking_us=100 * MS)
    started_at = driver.now - 2 * S
    warming_up = EndpointEntry(server_names(4)[0], zone="east", started_at=started_at)
    driver.receive_list([warming_up], EndpointListKind.CHANGES)
    before = len(driver.sent_attempts())
    driver.serve_traffic(200, every_us=10 * MS, taking_us=100 * MS)
    sent = [attempt for _, attempt in driver.sent_attempts()[before:]]
    received = sum(attempt.server == warming_up.server for attempt in sent)
    warm = (len(sent) - received) / 3  # requests of each warm server meanwhile
    capacity_fraction = 0.2 + 0.8 * 3 / 10  # on average, at least
    assert warm * capacity_fraction < received < 3 * warm * capacity_fraction


def test_warming_up_endpoints_do_not_starve_while_the_warm_ones_are_overloaded() -> None:
    # Guards against an estimated capacity of 0: a new balancer, or one whose warm servers answer everything
    # too late, has seen no response of a warm server.
    driver = BalancerDriver()
    started_at = driver.now - 5 * S
    warm, warming_up = server_names(4)[:2], server_names(4)[2:]
    driver.receive_list(
        [*warm, *(EndpointEntry(name, zone="east", started_at=started_at) for name in warming_up)]
    )
    requests: list[int] = []
    for _ in range(300):
        driver.wait(10 * MS)
        requests.append(driver.start_request("pay", remaining_us=400 * MS))
        for request in requests[-6:-5]:
            if driver.sent_attempts(request) and driver.target(request) in warming_up:
                driver.end_attempt(request)
        for request in requests[-40:-39]:
            if driver.sent_attempts(request) and driver.target(request) in warm:
                driver.end_attempt(request, Outcome.TIMED_OUT, answered=False)
    received = sum(server in warming_up for server in driver.targets())
    # The concurrency window is nearly closed.  Without the estimate by first attempts they would get none.
    assert received >= 5


def test_warm_endpoint_is_not_limited_by_a_budget() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(2))
    for _ in range(50):
        driver.start_request()
    assert len(set(driver.targets())) == 2


def test_small_balancers_send_to_a_warming_up_endpoint_at_different_times() -> None:
    first_sent_after: list[int] = []
    for seed in range(120):
        driver = BalancerDriver(seed=seed)
        driver.receive_list(server_names(2))
        driver.serve_traffic(20, every_us=200 * MS)
        started_at = driver.now
        warming_up = [EndpointEntry(name, zone="east", started_at=started_at) for name in server_names(2)[:1]]
        driver.receive_list(warming_up, EndpointListKind.CHANGES)
        while driver.now < started_at + 4 * S and not first_sent_after[seed:]:
            driver.serve_traffic(1, every_us=200 * MS)
            first_sent_after += [
                at - started_at
                for at, attempt in driver.sent_attempts()[-1:]
                if attempt.server == warming_up[0].server
            ]
        first_sent_after += [] if first_sent_after[seed:] else [4 * S]
    early = sum(1 for delay_us in first_sent_after if delay_us < 1 * S)
    assert 3 < early < 80  # some, but by far not all, within the first second


# Unit test of `SlowStart`


def test_slow_start_capacity_grows_from_the_initial_fraction_to_one() -> None:
    context = make_context()
    endpoints = EndpointTable(context)
    slow_start = SlowStart(context, endpoints, InFlightTracker(context))
    endpoint = make_endpoint()
    slow_start.begin(endpoint, START)
    assert slow_start.capacity_fraction(endpoint) == pytest.approx(0.2)
    context.begin_event(START + 5 * S)
    assert slow_start.capacity_fraction(endpoint) == pytest.approx(0.6)
    context.begin_event(START + 10 * S)
    assert slow_start.capacity_fraction(endpoint) == 1.0 and not slow_start.is_warming_up(endpoint)


@pytest.mark.parametrize("step_s", [-3_600, -20, 20, 3_600])
@pytest.mark.parametrize("kind", [EndpointListKind.CHANGES, EndpointListKind.COMPLETE])
def test_server_whose_clock_was_stepped_warms_up_for_its_time(kind: EndpointListKind, step_s: int) -> None:
    # Guards against an overloaded cold server that seems to have started long ago, and an idle warm one.
    driver = BalancerDriver()
    names = server_names(4)
    driver.receive_list(names)
    driver.serve_traffic(300, every_us=10 * MS)
    restarted = EndpointEntry(names[0], zone="east", started_at=driver.now + step_s * S)
    others = [EndpointEntry(name, zone="east") for name in names[1:]]
    driver.receive_list([restarted, *(others if kind is EndpointListKind.COMPLETE else [])], kind)
    endpoint = driver.balancer._endpoints.by_name[names[0]]
    slow_start = driver.balancer._slow_start
    assert slow_start.is_warming_up(endpoint)
    assert slow_start.capacity_fraction(endpoint) == 0.2
    driver.wait(10 * S)
    driver.serve_traffic(1, every_us=10 * MS)
    assert not slow_start.is_warming_up(endpoint)
