"""The life cycle of requests in the balancer, by scripted events."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from helpers import MS, START, BalancerDriver, S, server_names, settings

from balancer.actions import CancelAttempt, Fail, Reject
from balancer.events import AttemptEnded, ClientDisconnected, EndpointListKind, EndpointState, Outcome


def test_request_without_a_response_fails_before_its_deadline() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    request = driver.start_request("pay", remaining_us=900 * MS)
    driver.wait(899 * MS)
    assert [action.request for action in driver.actions_of(Fail)] == [request]


def test_request_is_neither_sent_nor_answered_again_after_its_final_response() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(5))
    request = driver.start_request("look", remaining_us=300 * MS)
    driver.wait(300 * MS)
    rejections = len(driver.actions_of(Reject))
    driver.end_attempt(request, Outcome.CANCELLED, answered=True)
    driver.wait(5 * S)
    assert rejections == 1
    assert len(driver.actions_of(Reject)) == 1
    assert len([1 for at, _ in driver.sent_attempts(request) if at > START + 300 * MS]) == 0


def test_request_past_its_deadline_on_arrival_is_rejected_without_an_attempt() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    request = driver.start_request("pay", remaining_us=0)
    assert driver.sent_attempts(request) == []
    assert [action.request for action in driver.actions_of(Reject)] == [request]


def test_request_without_any_endpoint_is_rejected_at_once() -> None:
    driver = BalancerDriver()
    request = driver.start_request("pay")
    assert [action.request for action in driver.actions_of(Reject)] == [request]


def test_request_without_any_allowed_attempt_is_rejected() -> None:
    driver = BalancerDriver(settings(limits={"max_attempts": 0}))
    driver.receive_list(server_names(3))
    request = driver.start_request("look")
    assert driver.sent_attempts(request) == []
    assert [action.request for action in driver.actions_of(Reject)] == [request]


def test_late_and_unknown_events_are_ignored() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    request = driver.start_request()
    driver.end_attempt(request)
    before = len(driver.actions)
    driver.handle(ClientDisconnected(request))
    driver.handle(ClientDisconnected(99))
    driver.handle(AttemptEnded(99, 0, "10.0.0.1:80", Outcome.DELIVERED, 1, True))
    driver.handle(AttemptEnded(request, 7, "10.0.0.1:80", Outcome.DELIVERED, 1, True))
    assert len(driver.actions) == before


def test_disconnect_cancels_the_attempt_and_gets_no_final_response() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    request = driver.start_request("pay")
    driver.handle(ClientDisconnected(request))
    driver.wait(3 * S)
    assert [action.request for action in driver.actions_of(CancelAttempt)] == [request]
    assert driver.actions_of(Fail) == [] and driver.actions_of(Reject) == []


def test_draining_or_unlisted_endpoint_gets_no_requests() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.drain("10.0.0.1:80")
    driver.receive_list([*server_names(3)[1:], "10.0.0.9:80"])
    for _ in range(100):
        driver.start_request()
    targets = set(driver.targets())
    assert targets == {"10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80"}


def test_endpoint_that_is_listed_again_is_used_again() -> None:
    driver = BalancerDriver()
    driver.receive_list(["10.0.0.1:80"])
    driver.set_state("10.0.0.1:80", EndpointState.GONE)
    assert driver.sent_attempts(driver.start_request()) == []
    driver.receive_list(["10.0.0.1:80"], EndpointListKind.CHANGES)
    assert len(driver.sent_attempts(driver.start_request())) == 1


def test_send_refuses_attempts_to_a_draining_or_gone_endpoint() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(3))
    request = driver.balancer._requests[driver.start_request()]
    server = next(
        endpoint
        for endpoint in driver.balancer._endpoints.by_name.values()
        if endpoint is not request.attempts[0].endpoint
    )
    for state in (EndpointState.DRAINING, EndpointState.GONE):
        driver.set_state(server.name, state)
        assert not driver.balancer._send(request, server)
    driver.receive_list([server.name], EndpointListKind.CHANGES)
    assert driver.balancer._send(request, server)


def test_send_refuses_hedged_requests_if_they_are_not_allowed() -> None:
    for allowed in (False, True):
        driver = BalancerDriver(settings(limits={"hedged_requests": allowed}))
        driver.receive_list(server_names(3))
        request = driver.balancer._requests[driver.start_request()]
        server = next(
            endpoint
            for endpoint in driver.balancer._endpoints.by_name.values()
            if endpoint is not request.attempts[0].endpoint
        )
        assert driver.balancer._send(request, server) is allowed


ODD_OBJECTIVES = """
from dataclasses import replace
from helpers import IDEMPOTENT, MS, NOT_IDEMPOTENT, BalancerDriver, server_names, settings
for seed in range(12):
    look = replace(IDEMPOTENT, latency_objective_us=500 * MS + 2 * seed + 1)
    driver = BalancerDriver(settings(classes=(look, NOT_IDEMPOTENT)), seed=seed)
    driver.receive_list(server_names(5))
    driver.serve_traffic(400, taking_us=20 * MS)
    for _ in range(3):
        driver.start_request()
    driver.wait(900 * MS)
"""


def test_silence_check_ends_for_a_latency_objective_of_odd_microseconds() -> None:
    # Guards against a silence threshold that is rounded down: its timer fires too early and is set again for
    # the same time, without end.  Runs in a subprocess, because an endless loop cannot be stopped from
    # within.
    path = os.pathsep.join([str(Path(__file__).parent), *(folder for folder in sys.path if folder)])
    environment = {**os.environ, "PYTHONPATH": path}
    subprocess.run([sys.executable, "-P", "-c", ODD_OBJECTIVES], env=environment, check=True, timeout=90)
