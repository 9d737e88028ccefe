"""The concurrency window and what it rejects."""

from __future__ import annotations

import random

import pytest
from helpers import IDEMPOTENT, MS, NOT_IDEMPOTENT, START, S, Stage, names, serve_singly, settings
from mechanisms import make_context, make_endpoint

from balancer.actions import CancelAttempt, Reject
from balancer.admission_control import AdmissionController
from balancer.concurrency_window import ConcurrencyWindow
from balancer.events import Outcome
from balancer.in_flight import InFlightTracker
from balancer.requests import Attempt
from balancer.settings import Tenant


def _overload(stage: Stage, spans: int) -> None:
    """Servers that answer ever later as more is in flight, under far more requests than they can serve."""
    stage.servers(names(4))
    out: list[int] = []
    for tick in range(spans):
        stage.wait(10 * MS)
        for name in ("look", "pay"):
            request = stage.request(name)
            if stage.sends(request):
                out.append(request)
        if tick % 2 and out:  # one answer for four requests, oldest first
            request = out.pop(0)
            if request in stage.balancer._requests and not stage.balancer._requests[request].is_answered:
                stage.end(request, attempt=0)


def test_surge_is_rejected_early_and_low_priority_more() -> None:
    stage = Stage()
    stage.servers(names(4))
    stage.serve(200)
    _overload(stage, 600)
    rejected = {rejection.request for rejection in stage.said(Reject)}
    low_priority = sum(number % 2 for number in rejected)  # every other request
    assert len(rejected) > 300 and low_priority > 0.5 * len(rejected)
    unsent = [rejection.request for rejection in stage.said(Reject) if not stage.sends(rejection.request)]
    assert len(unsent) > 0.5 * len(stage.said(Reject))


def test_window_admits_all_again_once_the_load_falls() -> None:
    stage = Stage()
    stage.serve(1)
    _overload(stage, 400)
    stage.wait(10 * S)
    for request in list(stage.balancer._requests.values()):
        for attempt in request.attempts:
            if attempt.is_pending:
                stage.end(request.request_id, Outcome.CANCELLED, attempt.index, answered=True)
    stage.wait(15 * S)  # what was abandoned, up to 14 s old, counts for as long again
    stage.serve(300)  # a small window takes some aims to grow
    rejected = len(stage.said(Reject))
    stage.serve(300)
    assert len(stage.said(Reject)) == rejected


def test_quiet_fleet_gets_no_rejection() -> None:
    stage = Stage()
    stage.servers(names(4))
    stage.serve(800)
    assert stage.said(Reject) == [] and stage.said(CancelAttempt) == []


def test_small_balancer_rejects_a_part_while_every_response_is_late() -> None:
    stage = Stage()
    stage.servers(names(8))
    for _ in range(120):  # hardly ever two in flight, so a window of two would never refuse
        stage.wait(900 * MS)
        request = stage.request()
        if stage.sends(request):
            stage.wait(700 * MS)
            stage.end(request)
    rejected = len(stage.said(Reject))
    assert 20 <= rejected < 120
    stage.wait(10 * S)
    serve_singly(stage, 60)
    rejected = len(stage.said(Reject))
    serve_singly(stage, 60)
    assert len(stage.said(Reject)) == rejected


def test_two_requests_at_once_are_no_overload_of_a_small_balancer() -> None:
    stage = Stage()
    stage.servers(names(8))
    stage.balancer._window.size = 1.0
    stage.balancer._window._sized_at = stage.now
    for _ in range(10):
        pair = (stage.request(), stage.request())
        stage.wait(50 * MS)
        for request in pair:
            stage.end(request)
        stage.wait(900 * MS)
    assert not stage.said(Reject)


def _late_with_reports(cores: float, seed: int) -> int:
    stage = Stage(seed=seed)
    stage.servers(names(8))
    rejected = 0
    for _ in range(300):
        stage.wait(60 * MS)
        request = stage.request()
        if stage.sends(request):
            stage.wait(550 * MS)
            stage.end(request, attempt=0, report={"util": cores})
        else:
            rejected += 1
    return rejected


def test_late_responses_from_idle_servers_are_no_overload() -> None:
    seeds = range(7, 13)
    assert sum(_late_with_reports(0.4, seed) for seed in seeds) < 5 * 6  # the first come with no report yet
    assert all(_late_with_reports(1.0, seed) > 30 for seed in seeds)


def test_load_reports_do_not_hold_the_window_open_where_many_are_in_flight() -> None:
    stage = Stage()
    stage.servers(names(8))
    out: list[tuple[int, int]] = []
    for _ in range(600):
        stage.wait(10 * MS)
        request = stage.request()
        if stage.sends(request):
            out.append((stage.now, request))
        while out and stage.now - out[0][0] >= (550 if out[0][1] % 8 == 0 else 300) * MS:  # one in eight late
            stage.end(out.pop(0)[1], attempt=0, report={"util": 0.5})
    assert len(stage.said(Reject)) > 50


def test_missing_responses_outweigh_the_last_load_report() -> None:
    stage = Stage()
    stage.servers(names(8))
    for _ in range(20):
        stage.wait(50 * MS)
        request = stage.request()
        stage.wait(50 * MS)
        stage.end(request, attempt=0, report={"util": 0.3})
    for _ in range(400):
        stage.wait(20 * MS)
        stage.request("pay")  # none of these is ever answered
    assert len(stage.said(Reject)) > 100


def test_full_responses_that_a_retry_makes_good_are_no_overload() -> None:
    stage = Stage()
    stage.servers(names(12))
    for _ in range(200):
        stage.wait(400 * MS)
        request = stage.request()
        stage.end(request, Outcome.FULL)
        stage.wait(50 * MS)
        stage.end(request)
    assert stage.said(Reject) == []


def test_full_responses_that_no_retry_makes_good_are_overload() -> None:
    stage = Stage(settings(limits={"max_attempts": 3}))
    stage.servers(names(12))
    unsent = 0
    for _ in range(100):
        stage.wait(400 * MS)
        request = stage.request()
        unsent += not stage.sends(request)
        while stage.balancer._requests.get(request) is not None:
            stage.wait(100 * MS)
            stage.end(request, Outcome.FULL)
    assert unsent > 20


def test_small_balancer_with_quick_but_uneven_responses_rejects_next_to_nothing() -> None:
    rejected = 0
    for seed in range(4):
        chance = random.Random(seed)
        stage = Stage(seed=seed)
        stage.servers(names(12))
        for _ in range(300):
            stage.wait(600 * MS)
            request = stage.request()
            if stage.sends(request):  # typically a tenth of the aim, one in forty beyond it
                stage.wait(min(int(50 * MS * chance.lognormvariate(0.0, 1.2)), 900 * MS))
                stage.end(request, attempt=0)
        rejected += len(stage.said(Reject))
    assert rejected < 0.01 * 4 * 300


def _rejected_beside_late_servers(every_us: int, count: int) -> float:
    """The part that is rejected while one server in three responds late."""
    rejected = 0
    for seed in range(8):
        stage = Stage(seed=seed)
        stage.servers(names(60))
        late = set(names(60)[::3])
        due: list[tuple[int, int]] = []
        for _ in range(count):
            stage.wait(every_us)
            request = stage.request("pay")
            if stage.sends(request):
                took = 800 * MS if stage.target(request) in late else 100 * MS
                due.append((stage.now + took, request))
            for end in sorted(response for response in due if response[0] <= stage.now):
                due.remove(end)
                stage.end(end[1])
        rejected += len(stage.said(Reject))
    return rejected / (8 * count)


def test_a_third_of_the_servers_responding_late_is_no_overload() -> None:
    assert _rejected_beside_late_servers(20 * MS, 120) < 0.02


def test_few_late_responses_do_not_reject_the_clients_of_a_small_balancer() -> None:
    assert _rejected_beside_late_servers(300 * MS, 120) < 0.02


@pytest.mark.parametrize("advised", [True, False])
def test_rejected_clients_get_a_jittered_retry_after_where_settings_allow_it(advised: bool) -> None:
    # Guards against clients that ask again at once and keep an overloaded fleet so.
    stage = Stage(settings(limits={"retry_after": advised, "max_retry_after_us": 400 * MS}))
    for _ in range(20):
        stage.request()  # no server is known
    rejected = stage.said(Reject)
    assert len(rejected) == 20 and stage.now == START  # none is held
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
