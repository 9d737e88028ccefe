"""The life cycle of requests and the two gates, by scripted events."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from helpers import MS, START, S, Stage, names, settings

from balancer.actions import CancelAttempt, Fail, Reject
from balancer.events import AttemptEnded, ClientDisconnected, EndpointListKind, EndpointState, Outcome


def test_request_without_a_response_gets_its_final_one_before_the_deadline() -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay", remaining_us=900 * MS)
    stage.wait(899 * MS)
    assert [action.request for action in stage.said(Fail)] == [request]


def test_request_is_neither_sent_nor_answered_after_its_final_response() -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("look", remaining_us=300 * MS)
    stage.wait(300 * MS)
    answers = len(stage.said(Reject))
    stage.end(request, Outcome.CANCELLED, answered=True)
    stage.wait(5 * S)
    assert answers == 1
    assert len(stage.said(Reject)) == 1
    assert len([1 for at, _ in stage.sends(request) if at > START + 300 * MS]) == 0


def test_request_past_its_deadline_on_arrival_is_rejected_unsent() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay", remaining_us=0)
    assert stage.sends(request) == []
    assert [action.request for action in stage.said(Reject)] == [request]


def test_request_without_any_endpoint_is_rejected_at_once() -> None:
    stage = Stage()
    request = stage.request("pay")
    assert [action.request for action in stage.said(Reject)] == [request]


def test_request_without_any_allowed_attempt_is_rejected() -> None:
    stage = Stage(settings(limits={"max_attempts": 0}))
    stage.servers(names(3))
    request = stage.request("look")
    assert stage.sends(request) == []
    assert [action.request for action in stage.said(Reject)] == [request]


def test_late_and_unknown_events_are_ignored() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request()
    stage.end(request)
    before = len(stage.log)
    stage.play(ClientDisconnected(request))
    stage.play(ClientDisconnected(99))
    stage.play(AttemptEnded(99, 0, "10.0.0.1:80", Outcome.DELIVERED, 1, True))
    stage.play(AttemptEnded(request, 7, "10.0.0.1:80", Outcome.DELIVERED, 1, True))
    assert len(stage.log) == before


def test_disconnected_client_is_owed_nothing_and_its_attempt_is_cancelled() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay")
    stage.play(ClientDisconnected(request))
    stage.wait(3 * S)
    assert [action.request for action in stage.said(CancelAttempt)] == [request]
    assert stage.said(Fail) == [] and stage.said(Reject) == []


def test_draining_or_unlisted_endpoint_gets_nothing_more() -> None:
    stage = Stage()
    stage.servers(names(4))
    stage.drain("10.0.0.1:80")
    stage.servers([*names(3)[1:], "10.0.0.9:80"])
    for _ in range(100):
        stage.request()
    targets = set(stage.targets())
    assert targets == {"10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80"}


def test_endpoint_that_is_listed_again_is_used_again() -> None:
    stage = Stage()
    stage.servers(["10.0.0.1:80"])
    stage.drain("10.0.0.1:80", EndpointState.GONE)
    assert stage.sends(stage.request()) == []
    stage.servers(["10.0.0.1:80"], EndpointListKind.CHANGES)
    assert len(stage.sends(stage.request())) == 1


def test_send_gate_stops_attempts_to_a_draining_or_gone_endpoint() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.balancer._requests[stage.request()]
    server = next(
        endpoint
        for endpoint in stage.balancer._endpoints.by_name.values()
        if endpoint is not request.attempts[0].endpoint
    )
    for state in (EndpointState.DRAINING, EndpointState.GONE):
        stage.drain(server.name, state)
        assert not stage.balancer._send(request, server)
    stage.servers([server.name], EndpointListKind.CHANGES)
    assert stage.balancer._send(request, server)


def test_send_gate_stops_hedged_requests_where_they_are_not_allowed() -> None:
    for allowed in (False, True):
        stage = Stage(settings(limits={"hedged_requests": allowed}))
        stage.servers(names(3))
        request = stage.balancer._requests[stage.request()]
        server = next(
            endpoint
            for endpoint in stage.balancer._endpoints.by_name.values()
            if endpoint is not request.attempts[0].endpoint
        )
        assert stage.balancer._send(request, server) is allowed


ODD_OBJECTIVES = """
from dataclasses import replace
from helpers import IDEMPOTENT, MS, NOT_IDEMPOTENT, Stage, names, settings
for seed in range(12):
    look = replace(IDEMPOTENT, latency_objective_us=500 * MS + 2 * seed + 1)
    stage = Stage(settings(classes=(look, NOT_IDEMPOTENT)), seed=seed)
    stage.servers(names(5))
    stage.serve(400, taking_us=20 * MS)
    for _ in range(3):
        stage.request()
    stage.wait(900 * MS)
"""


def test_timer_that_fires_on_its_microsecond_ends_where_the_objective_is_odd() -> None:
    # In a process of its own: a decision that never ends can't be stopped from within.
    path = os.pathsep.join([str(Path(__file__).parent), *(folder for folder in sys.path if folder)])
    environment = {**os.environ, "PYTHONPATH": path}
    subprocess.run([sys.executable, "-P", "-c", ODD_OBJECTIVES], env=environment, check=True, timeout=90)
