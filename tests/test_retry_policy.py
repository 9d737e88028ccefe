"""Retries and hedged requests: no request takes effect twice, and retries are bounded."""

from __future__ import annotations

from dataclasses import replace

import pytest
from component_factories import make_context, make_endpoint, make_request
from helpers import (
    IDEMPOTENT,
    MS,
    NOT_IDEMPOTENT,
    START,
    WITH_KEY,
    BalancerDriver,
    S,
    endpoints_in_two_cells,
    server_names,
    settings,
)

from balancer.actions import CancelAttempt, Fail, Reject
from balancer.events import EndpointEntry, EndpointListKind, Outcome
from balancer.retry_policy import NO_LIMIT, NOT_ALLOWED, RetryPolicy
from balancer.settings import IdempotencyScope, ServiceClass


def test_retries_after_failures_are_bounded_by_the_budget() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(40))
    for _ in range(400):
        driver.wait(MS)
        request = driver.start_request()
        while driver.balancer._requests.get(request) is not None:
            driver.end_attempt(request, Outcome.CONNECTION_LOST)
    assert len(driver.sent_attempts()) <= 400 * 1.25 + 10


def test_retry_after_a_failed_connect_is_not_charged_to_the_budget() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(60))
    for _ in range(60):
        driver.wait(200 * MS)
        request = driver.start_request()
        driver.end_attempt(request, Outcome.CONNECT_FAILED)
        driver.wait(40 * MS)
        assert len(driver.sent_attempts(request)) == 2
        driver.end_attempt(request)
    assert driver.actions_of(Reject) == []


@pytest.mark.parametrize(
    "outcome", [Outcome.ERROR, Outcome.CONNECTION_LOST, Outcome.TIMED_OUT, Outcome.CANCELLED]
)
def test_request_that_is_not_idempotent_and_may_have_executed_fails(outcome: Outcome) -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    request = driver.start_request("pay")
    driver.wait(10 * MS)
    driver.end_attempt(request, outcome)
    assert len(driver.sent_attempts(request)) == 1
    assert [action.request for action in driver.actions_of(Fail)] == [request]
    assert driver.actions_of(Reject) == []


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_request_that_was_not_executed_is_retried_at_another_endpoint(outcome: Outcome) -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    request = driver.start_request("pay")
    driver.wait(10 * MS)
    driver.end_attempt(request, outcome)
    targets = driver.targets(request)
    assert len(targets) == 2 and targets[0] != targets[1]


def test_retry_with_a_key_stays_in_its_cell() -> None:
    for seed in range(20):
        driver = BalancerDriver(seed=seed)
        driver.receive_list(endpoints_in_two_cells())
        cell_of = {entry.server: entry.cell for entry in endpoints_in_two_cells()}
        request = driver.start_request("amend")
        for _ in range(3):
            driver.wait(10 * MS)
            driver.end_attempt(request, Outcome.CONNECTION_LOST)
        targets = driver.targets(request)
        assert len(targets) > 1
        assert len({cell_of[target] for target in targets}) == 1


def test_retry_with_a_key_ends_with_the_idempotency_window() -> None:
    driver = BalancerDriver()
    driver.receive_list(endpoints_in_two_cells())
    request = driver.start_request("amend", remaining_us=4 * S)
    driver.wait(2 * S)
    driver.end_attempt(request, Outcome.CONNECTION_LOST)
    assert len(driver.sent_attempts(request)) == 1
    assert [action.request for action in driver.actions_of(Fail)] == [request]


def test_retry_waits_for_the_first_attempt_where_hedging_is_not_allowed() -> None:
    driver = BalancerDriver(settings(limits={"hedged_requests": False}))
    driver.receive_list(server_names(6))
    driver.serve_traffic(100)
    request = driver.start_request("look")
    silent = driver.target(request)
    for _ in range(60):
        driver.wait(10 * MS)
        other = driver.start_request("look")
        if driver.target(other) != silent:
            driver.end_attempt(other)
    assert [action.request for action in driver.actions_of(CancelAttempt)][:1] == [request]
    assert len(driver.sent_attempts(request)) == 1
    driver.end_attempt(request, Outcome.CANCELLED, answered=False)
    assert len(driver.sent_attempts(request)) == 2


def test_retry_names_the_time_by_which_its_first_byte_has_to_be_sent() -> None:
    # Guards against a retry that is sent too late because connecting takes time after the decision.
    driver = BalancerDriver()
    driver.receive_list(endpoints_in_two_cells())
    for class_name, outcome, window_us in (
        ("look", Outcome.CONNECTION_LOST, None),
        ("amend", Outcome.CONNECTION_LOST, 2 * S),
        ("amend", Outcome.CONNECT_FAILED, None),
        ("pay", Outcome.CONNECT_FAILED, None),
    ):
        request = driver.start_request(class_name)
        sent_at, first = driver.sent_attempts(request)[0]
        assert first.send_by is not None and first.send_by >= first.deadline  # no limit besides the deadline
        driver.wait(100 * MS)
        driver.end_attempt(request, outcome)
        _, retry = driver.sent_attempts(request)[1]
        assert retry.send_by is not None
        if window_us is None:
            assert retry.send_by >= retry.deadline
        else:
            assert retry.send_by == sent_at + window_us - 5 * MS


def test_retry_with_a_key_stays_in_the_cell_that_the_first_attempt_was_sent_to() -> None:
    # A list moves the first server into the other cell after the attempt was sent; the old cell still counts.
    for seed in range(6):
        driver = BalancerDriver(seed=seed)
        driver.receive_list(endpoints_in_two_cells())
        cell_of = {entry.server: entry.cell for entry in endpoints_in_two_cells()}
        request = driver.start_request("amend")
        first = driver.target(request)
        moved = EndpointEntry(first, zone="east", cell=1 - cell_of[first])
        driver.receive_list([moved], EndpointListKind.CHANGES)
        driver.end_attempt(request, Outcome.CONNECTION_LOST)
        assert cell_of[driver.target(request)] == cell_of[first] and driver.target(request) != first


def driver_with_ambiguous_full_responses() -> BalancerDriver:
    driver = BalancerDriver(settings(guarantees={"full_may_have_executed": True}))
    driver.receive_list(endpoints_in_two_cells())
    return driver


def test_ambiguous_full_response_fails_a_request_that_is_not_idempotent() -> None:
    driver = driver_with_ambiguous_full_responses()
    request = driver.start_request("pay")
    driver.end_attempt(request, Outcome.FULL)
    assert len(driver.sent_attempts(request)) == 1
    assert [action.request for action in driver.actions_of(Fail)] == [request] and driver.actions_of(
        Reject
    ) == []


def test_ambiguous_full_response_keeps_a_retry_with_a_key_in_its_cell_and_window() -> None:
    cell_of = {entry.server: entry.cell for entry in endpoints_in_two_cells()}
    for seed in range(20):
        driver = BalancerDriver(settings(guarantees={"full_may_have_executed": True}), seed=seed)
        driver.receive_list(endpoints_in_two_cells())
        request = driver.start_request("amend", remaining_us=4 * S)
        driver.end_attempt(request, Outcome.FULL)
        assert len({cell_of[server] for server in driver.targets(request)}) == 1
        assert len(driver.sent_attempts(request)) == 2
        driver.wait(2 * S)
        driver.end_attempt(request, Outcome.FULL, answered=False)
        assert len(driver.sent_attempts(request)) == 2 and driver.actions_of(Reject) == []


def test_ambiguous_full_response_allows_the_retry_of_an_idempotent_request() -> None:
    driver = driver_with_ambiguous_full_responses()
    request = driver.start_request("look")
    driver.end_attempt(request, Outcome.FULL)
    assert len(driver.sent_attempts(request)) == 2


# Unit tests of `RetryPolicy`


@pytest.mark.parametrize(
    ("service_class", "send_by"),
    [
        (IDEMPOTENT, NO_LIMIT),
        (NOT_IDEMPOTENT, NOT_ALLOWED),
        (WITH_KEY, START + 2 * S - 5 * MS),  # one tick before servers forget the key
    ],
    ids=lambda value: getattr(value, "name", str(value)),
)
def test_retry_policy_limits_retries_after_an_attempt_that_may_have_executed(
    service_class: ServiceClass, send_by: int
) -> None:
    policy = RetryPolicy(make_context())
    assert policy.send_by(make_request(service_class, make_endpoint())) == send_by


def test_retry_policy_allows_any_retry_after_attempts_that_did_not_execute() -> None:
    policy = RetryPolicy(make_context())
    request = make_request(NOT_IDEMPOTENT, make_endpoint())
    request.attempts[0].may_have_executed = False
    assert policy.send_by(request) == NO_LIMIT and policy.is_safe_to_repeat(request)


@pytest.mark.parametrize(
    ("scope", "allowed"),
    [(IdempotencyScope.ALL, 3), (IdempotencyScope.ZONE, 2), (IdempotencyScope.CELL, 1)],
)
def test_retry_policy_keeps_a_retry_with_a_key_in_its_scope(scope: IdempotencyScope, allowed: int) -> None:
    policy = RetryPolicy(make_context())
    request = make_request(replace(WITH_KEY, idempotency_scope=scope), make_endpoint(zone="east", cell=1))
    endpoints = [make_endpoint(zone="east", cell=1), make_endpoint(zone="east"), make_endpoint(zone="west")]
    assert sum(policy.is_in_scope(request, endpoint) for endpoint in endpoints) == allowed


def test_retry_policy_budget_is_a_fraction_of_the_requests() -> None:
    policy = RetryPolicy(make_context())
    while policy.has_budget():
        policy.spend()
    for _ in range(100):
        policy.record_arrival()
    allowed = 0
    while policy.has_budget():
        policy.spend()
        allowed += 1
    assert 10 <= allowed <= 20
