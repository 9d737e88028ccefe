"""Idle connections: which are reused, and which are closed."""

from __future__ import annotations

import pytest
from helpers import MS, START, BalancerDriver, S, serve_singly, server_names, settings
from mechanisms import make_context, make_endpoint

from balancer.actions import CloseIdleConnections, Log
from balancer.connection_reuse import ConnectionReuse
from balancer.events import EndpointEntry, EndpointListKind, EndpointState, Outcome
from balancer.requests import Attempt


def _with_reaped_connections(driver: BalancerDriver, count: int) -> list[int]:
    """Connections unused for a second are dead: what is sent on one is lost; gives what was."""
    driver.receive_list(server_names(12))
    used: dict[str, int] = {}
    lost: list[int] = []
    for _ in range(count):
        driver.wait(350 * MS)
        seen = len(driver.actions)
        request = driver.start_request("pay")
        for close in [
            action for _, action in driver.actions[seen:] if isinstance(action, CloseIdleConnections)
        ]:
            used.pop(close.server, None)
        for old in lost:  # abandoned at its deadline, and so cancelled
            if driver.balancer._requests.get(old) is not None and driver.balancer._requests[old].is_answered:
                driver.end_attempt(old, Outcome.CANCELLED, answered=True)
        if not driver.sent_attempts(request):
            continue
        target = driver.target(request)
        if driver.now - used.get(target, driver.now) > S:
            lost.append(request)
            used.pop(target)
            continue
        driver.wait(50 * MS)
        driver.end_attempt(request, attempt=0)
        used[target] = driver.now
    return lost


def test_stale_connections_are_not_reused_and_not_blamed_on_endpoints() -> None:
    lost = closed = 0
    for seed in range(4):
        driver = BalancerDriver(seed=seed)
        lost += len(_with_reaped_connections(driver, 300))
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
    driver.drain("10.0.0.1:80")  # heard before: nothing was used since
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


def test_idle_connections_are_kept_where_no_guarantee_asks_for_closing() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(2))
    driver.drain("10.0.0.1:80")
    assert driver.actions_of(CloseIdleConnections) == []


# The mechanism by itself


def test_connection_reuse_closes_idle_connections_once_one_was_stale() -> None:
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


def test_connection_reuse_does_not_blame_a_connection_in_steady_use() -> None:
    context = make_context()
    connections = ConnectionReuse(context)
    assert not connections.record_silence(Attempt(0, make_endpoint(), START, 0))
    assert context.actions == []
