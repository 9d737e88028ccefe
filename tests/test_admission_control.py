"""Admission control and the concurrency window."""

from __future__ import annotations

import random

import pytest
from component_factories import make_context, make_endpoint
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

from balancer.actions import CancelAttempt, Reject
from balancer.admission_control import AdmissionController
from balancer.concurrency_window import ConcurrencyWindow
from balancer.events import Outcome
from balancer.in_flight import InFlightTracker
from balancer.requests import Attempt
from balancer.settings import Tenant


def _overload(driver: BalancerDriver, ticks: int) -> None:
    """Send far more requests than are answered: two requests a tick and one response every other tick."""
    driver.receive_list(server_names(4))
    pending: list[int] = []
    for tick in range(ticks):
        driver.wait(10 * MS)
        for name in ("look", "pay"):
            request = driver.start_request(name)
            if driver.sent_attempts(request):
                pending.append(request)
        if tick % 2 and pending:  # one response for four requests, oldest first
            request = pending.pop(0)
            if request in driver.balancer._requests and not driver.balancer._requests[request].is_answered:
                driver.end_attempt(request, attempt=0)


def test_surge_is_rejected_early_and_low_priority_more() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.serve_traffic(200)
    _overload(driver, 600)
    rejected = {rejection.request for rejection in driver.actions_of(Reject)}
    low_priority = sum(number % 2 for number in rejected)  # those of class "look", every other request
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
    driver.wait(15 * S)  # abandoned attempts, up to 14 s old, count as in flight for as long again
    driver.serve_traffic(300)  # a small window takes several latency objectives to grow
    rejected = len(driver.actions_of(Reject))
    driver.serve_traffic(300)
    assert len(driver.actions_of(Reject)) == rejected


def test_nothing_is_rejected_without_overload() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.serve_traffic(800)
    assert driver.actions_of(Reject) == [] and driver.actions_of(CancelAttempt) == []


def test_small_balancer_rejects_a_part_while_every_response_is_late() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(8))
    for _ in range(120):  # hardly ever two in flight, so a window of two would never reject
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


def test_two_concurrent_requests_are_no_overload_in_a_small_balancer() -> None:
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


def _rejected_with_late_responses(utilization: float, seed: int) -> int:
    driver = BalancerDriver(seed=seed)
    driver.receive_list(server_names(8))
    rejected = 0
    for _ in range(300):
        driver.wait(60 * MS)
        request = driver.start_request()
        if driver.sent_attempts(request):
            driver.wait(550 * MS)
            driver.end_attempt(request, attempt=0, report={"util": utilization})
        else:
            rejected += 1
    return rejected


def test_late_responses_are_no_overload_while_servers_report_low_utilization() -> None:
    seeds = range(7, 13)
    assert (
        sum(_rejected_with_late_responses(0.4, seed) for seed in seeds) < 5 * 6
    )  # the first requests are sent before any report
    assert all(_rejected_with_late_responses(1.0, seed) > 30 for seed in seeds)


def test_load_reports_do_not_keep_the_window_open_with_many_requests_in_flight() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(8))
    pending: list[tuple[int, int]] = []
    for _ in range(600):
        driver.wait(10 * MS)
        request = driver.start_request()
        if driver.sent_attempts(request):
            pending.append((driver.now, request))
        # One response in eight is late.
        while pending and driver.now - pending[0][0] >= (550 if pending[0][1] % 8 == 0 else 300) * MS:
            driver.end_attempt(pending.pop(0)[1], attempt=0, report={"util": 0.5})
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


def test_full_responses_followed_by_a_successful_retry_are_no_overload() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(12))
    for _ in range(200):
        driver.wait(400 * MS)
        request = driver.start_request()
        driver.end_attempt(request, Outcome.FULL)
        driver.wait(50 * MS)
        driver.end_attempt(request)
    assert driver.actions_of(Reject) == []


def test_full_responses_without_a_successful_retry_are_overload() -> None:
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


def test_small_balancer_with_fast_responses_of_high_variance_rejects_hardly_anything() -> None:
    rejected = 0
    for seed in range(4):
        random_stream = random.Random(seed)
        driver = BalancerDriver(seed=seed)
        driver.receive_list(server_names(12))
        for _ in range(300):
            driver.wait(600 * MS)
            request = driver.start_request()
            if driver.sent_attempts(
                request
            ):  # typically a tenth of the objective, one in forty later than it
                driver.wait(min(int(50 * MS * random_stream.lognormvariate(0.0, 1.2)), 900 * MS))
                driver.end_attempt(request, attempt=0)
        rejected += len(driver.actions_of(Reject))
    assert rejected < 0.01 * 4 * 300


def _rejected_fraction_with_late_servers(every_us: int, count: int) -> float:
    """Return the fraction of requests rejected while one server in three responds late."""
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
                elapsed_us = 800 * MS if driver.target(request) in late else 100 * MS
                due.append((driver.now + elapsed_us, request))
            for response in sorted(response for response in due if response[0] <= driver.now):
                due.remove(response)
                driver.end_attempt(response[1])
        rejected += len(driver.actions_of(Reject))
    return rejected / (8 * count)


def test_late_responses_of_a_third_of_the_servers_are_no_overload() -> None:
    assert _rejected_fraction_with_late_servers(20 * MS, 120) < 0.02


def test_small_balancer_does_not_reject_after_a_few_late_responses() -> None:
    assert _rejected_fraction_with_late_servers(300 * MS, 120) < 0.02


@pytest.mark.parametrize("is_enabled", [True, False])
def test_rejected_clients_get_a_jittered_retry_after_where_settings_allow_it(is_enabled: bool) -> None:
    # Guards against clients that retry at once and so prolong an overload.
    driver = BalancerDriver(settings(limits={"retry_after": is_enabled, "max_retry_after_us": 400 * MS}))
    for _ in range(20):
        driver.start_request()  # rejected: no endpoint is known
    rejected = driver.actions_of(Reject)
    assert len(rejected) == 20 and driver.now == START  # none was queued
    waits = {item.retry_after_us for item in rejected}
    if is_enabled:
        assert len(waits) > 10  # so that clients do not all retry together
        assert min(waits) > 0 and max(waits) <= 400 * MS
    else:
        assert waits == {0}


# Unit tests of the admission controller


def _fill_three_quarters(window: ConcurrencyWindow, in_flight: InFlightTracker) -> None:
    window.size = 40.0
    for index in range(30):
        in_flight.start(Attempt(index, make_endpoint(), START, 0))


def test_admission_rejects_lower_priority_first() -> None:
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


def test_admission_rejects_a_tenant_beyond_its_quota_first() -> None:
    tenants = (Tenant("small", quota_share=1.0), Tenant("large", quota_share=3.0))
    context = make_context(settings(tenants=tenants, over_quota_weight=0.2))
    in_flight = InFlightTracker(context)
    window = ConcurrencyWindow(context, in_flight)
    admission = AdmissionController(context, window)
    _fill_three_quarters(window, in_flight)
    admitted = {"small": 0, "large": 0}
    for _ in range(400):  # equal demand, which is twice the quota of the small tenant
        for tenant in admitted:
            admitted[tenant] += admission.admits(IDEMPOTENT, tenant)
    assert admitted["small"] < 0.5 * admitted["large"]


def test_admission_admits_all_without_pressure() -> None:
    context = make_context()
    window = ConcurrencyWindow(context, InFlightTracker(context))
    admission = AdmissionController(context, window)
    assert all(admission.admits(IDEMPOTENT, None) for _ in range(100))
