"""Reuse and closing of idle connections."""

from __future__ import annotations

import pytest
from component_factories import make_context, make_endpoint
from helpers import MS, START, BalancerDriver, S, serve_singly, server_names, settings

from balancer.actions import CloseIdleConnections, Log
from balancer.connection_reuse import ConnectionReuse
from balancer.events import EndpointEntry, EndpointListKind, EndpointState, Outcome
from balancer.requests import Attempt


def _run_with_stale_connections(driver: BalancerDriver, count: int) -> list[int]:
    """Send requests while connections become stale after one second; return the requests that were lost."""
    driver.receive_list(server_names(12))
    last_used: dict[str, int] = {}
    lost: list[int] = []
    for _ in range(count):
        driver.wait(350 * MS)
        action_count = len(driver.actions)
        request = driver.start_request("pay")
        for close in [
            action for _, action in driver.actions[action_count:] if isinstance(action, CloseIdleConnections)
        ]:
            last_used.pop(close.server, None)
        for lost_request in lost:  # cancelled at their deadline
            state = driver.balancer._requests.get(lost_request)
            if state is not None and state.is_answered:
                driver.end_attempt(lost_request, Outcome.CANCELLED, answered=True)
        if not driver.sent_attempts(request):
            continue
        target = driver.target(request)
        if driver.now - last_used.get(target, driver.now) > S:
            lost.append(request)
            last_used.pop(target)
            continue
        driver.wait(50 * MS)
        driver.end_attempt(request, attempt=0)
        last_used[target] = driver.now
    return lost


def test_stale_connections_are_not_reused_and_not_blamed_on_endpoints() -> None:
    lost = closed = 0
    for seed in range(4):
        driver = BalancerDriver(seed=seed)
        lost += len(_run_with_stale_connections(driver, 300))
        closed += len(driver.actions_of(CloseIdleConnections))
        assert not any("ejected" in action.text for action in driver.actions_of(Log))
    assert lost < 20 and closed > 20


def test_working_idle_connections_are_kept() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(12))
    serve_singly(driver, 200)
    assert driver.actions_of(CloseIdleConnections) == []


def test_idle_connections_of_a_draining_endpoint_are_closed_at_once_and_after_each_attempt() -> None:
    driver = BalancerDriver(settings(guarantees={"close_idle_within_us": 500 * MS}))
    driver.receive_list(server_names(1))
    request = driver.start_request("pay")
    driver.drain("10.0.0.1:80")
    assert driver.actions_of(CloseIdleConnections) == [CloseIdleConnections("10.0.0.1:80")]
    driver.drain("10.0.0.1:80")  # repeated: no connection was used since
    assert len(driver.actions_of(CloseIdleConnections)) == 1
    driver.set_state("10.0.0.1:80", EndpointState.GONE)
    assert len(driver.actions_of(CloseIdleConnections)) == 2
    driver.wait(S)
    driver.end_attempt(request)
    assert len(driver.actions_of(CloseIdleConnections)) == 3


@pytest.mark.parametrize("kind", [EndpointListKind.COMPLETE, EndpointListKind.CACHED])
def test_idle_connections_are_closed_for_a_drain_in_a_complete_list(
    kind: EndpointListKind,
) -> None:
    driver = BalancerDriver(settings(guarantees={"close_idle_within_us": 500 * MS}))
    driver.receive_list(server_names(2))
    driver.receive_list(
        [server_names(2)[1], EndpointEntry("10.0.0.1:80", "east", state=EndpointState.DRAINING)], kind
    )
    assert driver.actions_of(CloseIdleConnections) == [CloseIdleConnections("10.0.0.1:80")]
    driver.receive_list(server_names(2), kind)
    for _ in range(10):
        driver.end_attempt(driver.start_request())
    assert len(driver.actions_of(CloseIdleConnections)) == 1


def test_idle_connections_are_kept_if_no_guarantee_requires_closing() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(2))
    driver.drain("10.0.0.1:80")
    assert driver.actions_of(CloseIdleConnections) == []


# Unit tests of `ConnectionReuse`


def test_connection_reuse_closes_idle_connections_after_a_stale_one() -> None:
    context = make_context()
    connections = ConnectionReuse(context)
    attempt = Attempt(0, make_endpoint(), START, 0)
    attempt.idle_us = 2 * S
    assert connections.record_silence(attempt)
    assert context.actions == [CloseIdleConnections("10.0.0.1:80")]
    other = make_endpoint("10.0.0.2:80")
    other.idle_since = START - 3 * S
    assert connections.use_connection(other) == 0
    assert context.actions[1:] == [CloseIdleConnections("10.0.0.2:80")]


def test_connection_reuse_does_not_count_a_connection_in_steady_use_as_stale() -> None:
    context = make_context()
    connections = ConnectionReuse(context)
    assert not connections.record_silence(Attempt(0, make_endpoint(), START, 0))
    assert context.actions == []
