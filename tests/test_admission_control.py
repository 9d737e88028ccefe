"""The concurrency window and what it rejects."""

from __future__ import annotations

import random

import pytest
from helpers import (
    IDEMPOTENT,
    MS,
    NOT_IDEMPOTENT,
    START,
    BalancerDriver,
    S,
    serve_singly,
    server_names,
    settings,
)
from mechanisms import make_context, make_endpoint

from balancer.actions import CancelAttempt, Reject
from balancer.admission_control import AdmissionController
from balancer.concurrency_window import ConcurrencyWindow
from balancer.events import Outcome
from balancer.in_flight import InFlightTracker
from balancer.requests import Attempt
from balancer.settings import Tenant


def _overload(driver: BalancerDriver, spans: int) -> None:
    """Servers that answer ever later as more is in flight, under far more requests than they can serve."""
    driver.receive_list(server_names(4))
    out: list[int] = []
    for tick in range(spans):
        driver.wait(10 * MS)
        for name in ("look", "pay"):
            request = driver.start_request(name)
            if driver.sent_attempts(request):
                out.append(request)
        if tick % 2 and out:  # one answer for four requests, oldest first
            request = out.pop(0)
            if request in driver.balancer._requests and not driver.balancer._requests[request].is_answered:
                driver.end_attempt(request, attempt=0)


def test_surge_is_rejected_early_and_low_priority_more() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.serve_traffic(200)
    _overload(driver, 600)
    rejected = {rejection.request for rejection in driver.actions_of(Reject)}
    low_priority = sum(number % 2 for number in rejected)  # every other request
    assert len(rejected) > 300 and low_priority > 0.5 * len(rejected)
    unsent = [
        rejection.request
        for rejection in driver.actions_of(Reject)
        if not driver.sent_attempts(rejection.request)
    ]
    assert len(unsent) > 0.5 * len(driver.actions_of(Reject))


def test_window_admits_all_again_once_the_load_falls() -> None:
    driver = BalancerDriver()
    driver.serve_traffic(1)
    _overload(driver, 400)
    driver.wait(10 * S)
    for request in list(driver.balancer._requests.values()):
        for attempt in request.attempts:
            if attempt.is_pending:
                driver.end_attempt(request.request_id, Outcome.CANCELLED, attempt.index, answered=True)
    driver.wait(15 * S)  # what was abandoned, up to 14 s old, counts for as long again
    driver.serve_traffic(300)  # a small window takes some aims to grow
    rejected = len(driver.actions_of(Reject))
    driver.serve_traffic(300)
    assert len(driver.actions_of(Reject)) == rejected


def test_quiet_fleet_gets_no_rejection() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.serve_traffic(800)
    assert driver.actions_of(Reject) == [] and driver.actions_of(CancelAttempt) == []


def test_small_balancer_rejects_a_part_while_every_response_is_late() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(8))
    for _ in range(120):  # hardly ever two in flight, so a window of two would never refuse
        driver.wait(900 * MS)
        request = driver.start_request()
        if driver.sent_attempts(request):
            driver.wait(700 * MS)
            driver.end_attempt(request)
    rejected = len(driver.actions_of(Reject))
    assert 20 <= rejected < 120
    driver.wait(10 * S)
    serve_singly(driver, 60)
    rejected = len(driver.actions_of(Reject))
    serve_singly(driver, 60)
    assert len(driver.actions_of(Reject)) == rejected


def test_two_requests_at_once_are_no_overload_of_a_small_balancer() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(8))
    driver.balancer._window.size = 1.0
    driver.balancer._window._sized_at = driver.now
    for _ in range(10):
        pair = (driver.start_request(), driver.start_request())
        driver.wait(50 * MS)
        for request in pair:
            driver.end_attempt(request)
        driver.wait(900 * MS)
    assert not driver.actions_of(Reject)


def _late_with_reports(cores: float, seed: int) -> int:
    driver = BalancerDriver(seed=seed)
    driver.receive_list(server_names(8))
    rejected = 0
    for _ in range(300):
        driver.wait(60 * MS)
        request = driver.start_request()
        if driver.sent_attempts(request):
            driver.wait(550 * MS)
            driver.end_attempt(request, attempt=0, report={"util": cores})
        else:
            rejected += 1
    return rejected


def test_late_responses_from_idle_servers_are_no_overload() -> None:
    seeds = range(7, 13)
    assert sum(_late_with_reports(0.4, seed) for seed in seeds) < 5 * 6  # the first come with no report yet
    assert all(_late_with_reports(1.0, seed) > 30 for seed in seeds)


def test_load_reports_do_not_hold_the_window_open_where_many_are_in_flight() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(8))
    out: list[tuple[int, int]] = []
    for _ in range(600):
        driver.wait(10 * MS)
        request = driver.start_request()
        if driver.sent_attempts(request):
            out.append((driver.now, request))
        while (
            out and driver.now - out[0][0] >= (550 if out[0][1] % 8 == 0 else 300) * MS
        ):  # one in eight late
            driver.end_attempt(out.pop(0)[1], attempt=0, report={"util": 0.5})
    assert len(driver.actions_of(Reject)) > 50


def test_missing_responses_outweigh_the_last_load_report() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(8))
    for _ in range(20):
        driver.wait(50 * MS)
        request = driver.start_request()
        driver.wait(50 * MS)
        driver.end_attempt(request, attempt=0, report={"util": 0.3})
    for _ in range(400):
        driver.wait(20 * MS)
        driver.start_request("pay")  # none of these is ever answered
    assert len(driver.actions_of(Reject)) > 100


def test_full_responses_that_a_retry_makes_good_are_no_overload() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(12))
    for _ in range(200):
        driver.wait(400 * MS)
        request = driver.start_request()
        driver.end_attempt(request, Outcome.FULL)
        driver.wait(50 * MS)
        driver.end_attempt(request)
    assert driver.actions_of(Reject) == []


def test_full_responses_that_no_retry_makes_good_are_overload() -> None:
    driver = BalancerDriver(settings(limits={"max_attempts": 3}))
    driver.receive_list(server_names(12))
    unsent = 0
    for _ in range(100):
        driver.wait(400 * MS)
        request = driver.start_request()
        unsent += not driver.sent_attempts(request)
        while driver.balancer._requests.get(request) is not None:
            driver.wait(100 * MS)
            driver.end_attempt(request, Outcome.FULL)
    assert unsent > 20


def test_small_balancer_with_quick_but_uneven_responses_rejects_next_to_nothing() -> None:
    rejected = 0
    for seed in range(4):
        chance = random.Random(seed)
        driver = BalancerDriver(seed=seed)
        driver.receive_list(server_names(12))
        for _ in range(300):
            driver.wait(600 * MS)
            request = driver.start_request()
            if driver.sent_attempts(request):  # typically a tenth of the aim, one in forty beyond it
                driver.wait(min(int(50 * MS * chance.lognormvariate(0.0, 1.2)), 900 * MS))
                driver.end_attempt(request, attempt=0)
        rejected += len(driver.actions_of(Reject))
    assert rejected < 0.01 * 4 * 300


def _rejected_beside_late_servers(every_us: int, count: int) -> float:
    """The part that is rejected while one server in three responds late."""
    rejected = 0
    for seed in range(8):
        driver = BalancerDriver(seed=seed)
        driver.receive_list(server_names(60))
        late = set(server_names(60)[::3])
        due: list[tuple[int, int]] = []
        for _ in range(count):
            driver.wait(every_us)
            request = driver.start_request("pay")
            if driver.sent_attempts(request):
                took = 800 * MS if driver.target(request) in late else 100 * MS
                due.append((driver.now + took, request))
            for end in sorted(response for response in due if response[0] <= driver.now):
                due.remove(end)
                driver.end_attempt(end[1])
        rejected += len(driver.actions_of(Reject))
    return rejected / (8 * count)


def test_a_third_of_the_servers_responding_late_is_no_overload() -> None:
    assert _rejected_beside_late_servers(20 * MS, 120) < 0.02


def test_few_late_responses_do_not_reject_the_clients_of_a_small_balancer() -> None:
    assert _rejected_beside_late_servers(300 * MS, 120) < 0.02


@pytest.mark.parametrize("advised", [True, False])
def test_rejected_clients_get_a_jittered_retry_after_where_settings_allow_it(advised: bool) -> None:
    # Guards against clients that ask again at once and keep an overloaded fleet so.
    driver = BalancerDriver(settings(limits={"retry_after": advised, "max_retry_after_us": 400 * MS}))
    for _ in range(20):
        driver.start_request()  # no server is known
    rejected = driver.actions_of(Reject)
    assert len(rejected) == 20 and driver.now == START  # none is held
    waits = {item.retry_after_us for item in rejected}
    if advised:
        assert len(waits) > 10  # they do not all come back together
        assert min(waits) > 0 and max(waits) <= 400 * MS
    else:
        assert waits == {0}


# The mechanism by itself


def _fill_three_quarters(window: ConcurrencyWindow, in_flight: InFlightTracker) -> None:
    window.size = 40.0
    for index in range(30):
        in_flight.start(Attempt(index, make_endpoint(), START, 0))


def test_admission_rejects_the_lower_priority_sooner() -> None:
    context = make_context()
    in_flight = InFlightTracker(context)
    window = ConcurrencyWindow(context, in_flight)
    admission = AdmissionController(context, window)
    _fill_three_quarters(window, in_flight)
    low = high = 0
    for _ in range(400):
        low += admission.admits(IDEMPOTENT, None)
        high += admission.admits(NOT_IDEMPOTENT, None)
    assert low < 0.5 * high


def test_admission_rejects_a_tenant_beyond_its_quota_sooner() -> None:
    tenants = (Tenant("small", quota_share=1.0), Tenant("large", quota_share=3.0))
    context = make_context(settings(tenants=tenants, over_quota_weight=0.2))
    in_flight = InFlightTracker(context)
    window = ConcurrencyWindow(context, in_flight)
    admission = AdmissionController(context, window)
    _fill_three_quarters(window, in_flight)
    admitted = {"small": 0, "large": 0}
    for _ in range(400):  # both demand the same, which is twice the quota of one of them
        for tenant in admitted:
            admitted[tenant] += admission.admits(IDEMPOTENT, tenant)
    assert admitted["small"] < 0.5 * admitted["large"]


def test_admission_admits_all_while_the_window_is_half_free() -> None:
    context = make_context()
    window = ConcurrencyWindow(context, InFlightTracker(context))
    admission = AdmissionController(context, window)
    assert all(admission.admits(IDEMPOTENT, None) for _ in range(100))
