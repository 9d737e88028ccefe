"""Retries and hedged requests: never an effect twice, and never without bound."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import IDEMPOTENT, MS, NOT_IDEMPOTENT, START, WITH_KEY, S, Stage, cells, names, settings
from mechanisms import make_context, make_endpoint, make_request

from balancer.actions import CancelAttempt, Fail, Reject
from balancer.events import EndpointEntry, EndpointListKind, Outcome
from balancer.retry_policy import NO_LIMIT, NOT_ALLOWED, RetryPolicy
from balancer.settings import IdempotencyScope, ServiceClass


def test_retries_after_failures_are_bounded() -> None:
    stage = Stage()
    stage.servers(names(40))
    for _ in range(400):
        stage.wait(MS)
        request = stage.request()
        while stage.balancer._requests.get(request) is not None:
            stage.end(request, Outcome.CONNECTION_LOST)
    assert len(stage.sends()) <= 400 * 1.25 + 10


def test_retry_after_a_failed_connect_needs_no_budget() -> None:
    stage = Stage()
    stage.servers(names(60))
    for _ in range(60):
        stage.wait(200 * MS)
        request = stage.request()
        stage.end(request, Outcome.CONNECT_FAILED)
        stage.wait(40 * MS)
        assert len(stage.sends(request)) == 2
        stage.end(request)
    assert stage.said(Reject) == []


@pytest.mark.parametrize(
    "outcome", [Outcome.ERROR, Outcome.CONNECTION_LOST, Outcome.TIMED_OUT, Outcome.CANCELLED]
)
def test_request_that_is_not_idempotent_and_may_have_executed_fails(outcome: Outcome) -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    stage.wait(10 * MS)
    stage.end(request, outcome)
    assert len(stage.sends(request)) == 1
    assert [action.request for action in stage.said(Fail)] == [request]
    assert stage.said(Reject) == []


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_request_that_is_not_idempotent_and_never_executed_is_retried_elsewhere(outcome: Outcome) -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    stage.wait(10 * MS)
    stage.end(request, outcome)
    targets = stage.targets(request)
    assert len(targets) == 2 and targets[0] != targets[1]


def test_retry_with_a_key_stays_in_its_cell() -> None:
    for seed in range(20):
        stage = Stage(seed=seed)
        stage.servers(cells())
        cell_of = {entry.server: entry.cell for entry in cells()}
        request = stage.request("amend")
        for _ in range(3):
            stage.wait(10 * MS)
            stage.end(request, Outcome.CONNECTION_LOST)
        targets = stage.targets(request)
        assert len(targets) > 1
        assert len({cell_of[target] for target in targets}) == 1


def test_retry_with_a_key_ends_with_the_idempotency_window() -> None:
    stage = Stage()
    stage.servers(cells())
    request = stage.request("amend", remaining_us=4 * S)
    stage.wait(2 * S)
    stage.end(request, Outcome.CONNECTION_LOST)
    assert len(stage.sends(request)) == 1
    assert [action.request for action in stage.said(Fail)] == [request]


def test_retry_waits_for_the_first_attempt_where_hedging_is_not_allowed() -> None:
    stage = Stage(settings(limits={"hedged_requests": False}))
    stage.servers(names(6))
    stage.serve(100)
    request = stage.request("look")
    silent = stage.target(request)
    for _ in range(60):
        stage.wait(10 * MS)
        other = stage.request("look")
        if stage.target(other) != silent:
            stage.end(other)
    assert [action.request for action in stage.said(CancelAttempt)][:1] == [request]
    assert len(stage.sends(request)) == 1
    stage.end(request, Outcome.CANCELLED, answered=False)
    assert len(stage.sends(request)) == 2


def test_retry_names_the_time_by_which_its_first_byte_has_to_be_sent() -> None:
    # Guards rule 2 where a dial lies between the decision and the write.
    stage = Stage()
    stage.servers(cells())
    for kind, outcome, window in (
        ("look", Outcome.CONNECTION_LOST, None),
        ("amend", Outcome.CONNECTION_LOST, 2 * S),
        ("amend", Outcome.CONNECT_FAILED, None),
        ("pay", Outcome.CONNECT_FAILED, None),
    ):
        request = stage.request(kind)
        sent_at, first = stage.sends(request)[0]
        assert first.send_by is not None and first.send_by >= first.deadline  # no limit of its own
        stage.wait(100 * MS)
        stage.end(request, outcome)
        _, repeat = stage.sends(request)[1]
        assert repeat.send_by is not None
        if window is None:
            assert repeat.send_by >= repeat.deadline
        else:
            assert repeat.send_by == sent_at + window - 5 * MS


def test_retry_with_a_key_stays_in_the_cell_that_the_first_attempt_was_sent_to() -> None:
    # The list moves the first server into the other cell meanwhile: what it was sent to was the old one.
    for seed in range(6):
        stage = Stage(seed=seed)
        stage.servers(cells())
        cell_of = {entry.server: entry.cell for entry in cells()}
        request = stage.request("amend")
        first = stage.target(request)
        moved = EndpointEntry(first, zone="east", cell=1 - cell_of[first])
        stage.servers([moved], EndpointListKind.CHANGES)
        stage.end(request, Outcome.CONNECTION_LOST)
        assert cell_of[stage.target(request)] == cell_of[first] and stage.target(request) != first


def full_is_no_proof() -> Stage:
    stage = Stage(settings(guarantees={"full_may_have_executed": True}))
    stage.servers(cells())
    return stage


def test_full_response_that_proves_nothing_fails_a_request_that_is_not_idempotent() -> None:
    stage = full_is_no_proof()
    request = stage.request("pay")
    stage.end(request, Outcome.FULL)
    assert len(stage.sends(request)) == 1
    assert [action.request for action in stage.said(Fail)] == [request] and stage.said(Reject) == []


def test_full_response_that_proves_nothing_keeps_a_retry_with_a_key_in_its_cell_and_window() -> None:
    cell_of = {entry.server: entry.cell for entry in cells()}
    for seed in range(20):
        stage = Stage(settings(guarantees={"full_may_have_executed": True}), seed=seed)
        stage.servers(cells())
        request = stage.request("amend", remaining_us=4 * S)
        stage.end(request, Outcome.FULL)
        assert len({cell_of[server] for server in stage.targets(request)}) == 1
        assert len(stage.sends(request)) == 2
        stage.wait(2 * S)
        stage.end(request, Outcome.FULL, answered=False)
        assert len(stage.sends(request)) == 2 and stage.said(Reject) == []


def test_full_response_that_proves_nothing_does_not_keep_an_idempotent_request_from_its_retry() -> None:
    stage = full_is_no_proof()
    request = stage.request("look")
    stage.end(request, Outcome.FULL)
    assert len(stage.sends(request)) == 2


# The mechanism by itself


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
    others = [make_endpoint(zone="east", cell=1), make_endpoint(zone="east"), make_endpoint(zone="west")]
    assert sum(policy.is_in_scope(request, endpoint) for endpoint in others) == allowed


def test_retry_policy_budget_is_a_part_of_the_requests() -> None:
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
