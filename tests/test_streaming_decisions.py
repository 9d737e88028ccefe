"""Decisions on requests with streamed bodies and streamed responses."""

from __future__ import annotations

from helpers import MS, BalancerDriver, S, server_names, settings

from balancer.actions import CancelAttempt, Fail, Reject
from balancer.endpoints import EndpointCounts
from balancer.events import (
    AttemptEnded,
    ClientDisconnected,
    Outcome,
    RequestArrived,
    RequestBodyCompleted,
    ResponseStarted,
)


def arrive(driver: BalancerDriver, number: int = 900, name: str = "pay") -> int:
    driver.handle(RequestArrived(number, name, None, None, S, is_body_streaming=True))
    return number


def test_deadline_of_streamed_request_starts_when_body_is_complete() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    request = arrive(driver)
    driver.wait(30 * S)  # a slow upload, longer than any deadline
    assert len(driver.sent_attempts(request)) == 1 and driver.actions_of(Fail) == []
    driver.handle(RequestBodyCompleted(request, 900 * MS))
    driver.wait(880 * MS)
    assert driver.actions_of(Fail) == []
    driver.wait(20 * MS)
    assert [action.request for action in driver.actions_of(Fail)] == [request]
    assert [action.request for action in driver.actions_of(CancelAttempt)] == [request]


def test_consumed_body_is_never_retried() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    kept, consumed, executed = (arrive(driver, number, "look") for number in (901, 902, 903))
    for number, outcome, is_body_consumed in (
        (kept, Outcome.CONNECT_FAILED, False),
        (consumed, Outcome.CONNECT_FAILED, True),
        (executed, Outcome.CONNECTION_LOST, True),
    ):
        server = driver.target(number)
        driver.handle(AttemptEnded(number, 0, server, outcome, 0, False, None, is_body_consumed))
    assert len(driver.sent_attempts(kept)) == 2
    assert len(driver.sent_attempts(consumed)) == len(driver.sent_attempts(executed)) == 1
    assert [action.request for action in driver.actions_of(Reject)] == [consumed, executed]


def test_request_with_a_consumed_body_that_may_have_executed_fails_if_not_idempotent() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    request = arrive(driver, name="pay")
    driver.handle(
        AttemptEnded(request, 0, driver.target(request), Outcome.CONNECTION_LOST, 0, False, None, True)
    )
    assert [action.request for action in driver.actions_of(Fail)] == [request]
    assert driver.actions_of(Reject) == []


def test_streamed_body_is_never_hedged() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    driver.serve_traffic(40)
    request = arrive(driver, name="look")
    driver.handle(RequestBodyCompleted(request, 2 * S))
    driver.serve_traffic(60)
    assert len(driver.sent_attempts(request)) == 1


def test_streaming_affects_neither_endpoints_nor_concurrency_window() -> None:
    # Guards against rejections and ejections due to slow clients or large bodies.
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.serve_traffic(40)
    for number in range(900, 940):
        arrive(driver, number, "look")
    driver.wait(20 * S)
    assert driver.balancer.endpoint_counts() == EndpointCounts(4, 0)
    for number in range(900, 940):
        driver.handle(RequestBodyCompleted(number, 2 * S))
        driver.handle(ResponseStarted(number, 0, driver.target(number), 0))
    driver.wait(20 * S)
    before = len(driver.actions_of(Reject))
    driver.serve_traffic(100)
    assert len(driver.actions_of(Reject)) == before and driver.balancer.endpoint_counts() == EndpointCounts(
        4, 0
    )


def test_started_response_cancels_other_attempts_and_retries() -> None:
    driver = BalancerDriver(settings(limits={"max_attempts": 5}))
    driver.receive_list(server_names(3))
    request = driver.start_request("look", 2 * S)
    silent = driver.target(request)
    for _ in range(40):
        other = driver.start_request("look")
        driver.wait(20 * MS)
        if driver.target(other) != silent:
            driver.end_attempt(other)
    assert len(driver.sent_attempts(request)) >= 2
    driver.handle(ResponseStarted(request, 1, driver.target(request), 100))
    assert CancelAttempt(request, 0) in driver.actions_of(CancelAttempt)
    attempt_count = len(driver.sent_attempts(request))
    driver.end_attempt(request, Outcome.CONNECTION_LOST, attempt=0, answered=False)
    driver.wait(20 * S)
    assert len(driver.sent_attempts(request)) == attempt_count
    answered = [action.request for action in driver.actions_of(Reject)] + [
        action.request for action in driver.actions_of(Fail)
    ]
    assert request not in answered


def test_disconnect_during_upload_is_no_failure_of_the_endpoint() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    for number in range(900, 920):
        arrive(driver, number)
        driver.wait(5 * S)
        driver.handle(ClientDisconnected(number))
        driver.handle(
            AttemptEnded(number, 0, driver.target(number), Outcome.CANCELLED, 5 * S, True, None, True)
        )
    assert driver.balancer.endpoint_counts() == EndpointCounts(4, 0)
    last = driver.start_request()
    assert len(driver.sent_attempts(last)) == 1
