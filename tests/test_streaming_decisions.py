"""Streamed bodies and responses in the balancer's decisions."""

from __future__ import annotations

from helpers import MS, S, Stage, names, settings

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


def arrive(stage_: Stage, number: int = 900, name: str = "pay") -> int:
    stage_.play(RequestArrived(number, name, None, None, S, is_body_streaming=True))
    return number


def test_deadline_of_streamed_request_starts_when_body_is_complete() -> None:
    scene = Stage()
    scene.servers(names(3))
    request_ = arrive(scene)
    scene.wait(30 * S)  # a slow body is no slow server
    assert len(scene.sends(request_)) == 1 and scene.said(Fail) == []
    scene.play(RequestBodyCompleted(request_, 900 * MS))
    scene.wait(880 * MS)
    assert scene.said(Fail) == []
    scene.wait(20 * MS)
    assert [each.request for each in scene.said(Fail)] == [request_]
    assert [each.request for each in scene.said(CancelAttempt)] == [request_]


def test_consumed_body_is_never_retried() -> None:
    scene = Stage()
    scene.servers(names(3))
    kept, spent, ran = (arrive(scene, number, "look") for number in (901, 902, 903))
    for number, outcome, is_spent in (
        (kept, Outcome.CONNECT_FAILED, False),
        (spent, Outcome.CONNECT_FAILED, True),
        (ran, Outcome.CONNECTION_LOST, True),
    ):
        server = scene.target(number)
        scene.play(AttemptEnded(number, 0, server, outcome, 0, False, None, is_spent))
    assert len(scene.sends(kept)) == 2
    assert len(scene.sends(spent)) == len(scene.sends(ran)) == 1
    assert [each.request for each in scene.said(Reject)] == [spent, ran]


def test_consumed_request_that_may_have_run_fails_if_not_idempotent() -> None:
    scene = Stage()
    scene.servers(names(3))
    request_ = arrive(scene, name="pay")
    scene.play(
        AttemptEnded(request_, 0, scene.target(request_), Outcome.CONNECTION_LOST, 0, False, None, True)
    )
    assert [each.request for each in scene.said(Fail)] == [request_] and scene.said(Reject) == []


def test_streamed_body_is_never_hedged() -> None:
    scene = Stage()
    scene.servers(names(5))
    scene.serve(40)
    request_ = arrive(scene, name="look")
    scene.play(RequestBodyCompleted(request_, 2 * S))
    scene.serve(60)
    assert len(scene.sends(request_)) == 1


def test_streaming_affects_neither_endpoints_nor_concurrency_window() -> None:
    # Guards against refusals and ejections for what only the client, or the size, makes slow.
    scene = Stage()
    scene.servers(names(4))
    scene.serve(40)
    for number in range(900, 940):
        arrive(scene, number, "look")
    scene.wait(20 * S)
    assert scene.balancer.endpoint_counts() == EndpointCounts(4, 0)
    for number in range(900, 940):
        scene.play(RequestBodyCompleted(number, 2 * S))
        scene.play(ResponseStarted(number, 0, scene.target(number), 0))
    scene.wait(20 * S)
    before = len(scene.said(Reject))
    scene.serve(100)
    assert len(scene.said(Reject)) == before and scene.balancer.endpoint_counts() == EndpointCounts(4, 0)


def test_started_response_cancels_other_attempts_and_retries() -> None:
    scene = Stage(settings(limits={"max_attempts": 5}))
    scene.servers(names(3))
    request_ = scene.request("look", 2 * S)
    silent = scene.target(request_)
    for _ in range(40):
        other = scene.request("look")
        scene.wait(20 * MS)
        if scene.target(other) != silent:
            scene.end(other)
    assert len(scene.sends(request_)) >= 2
    scene.play(ResponseStarted(request_, 1, scene.target(request_), 100))
    assert CancelAttempt(request_, 0) in scene.said(CancelAttempt)
    count = len(scene.sends(request_))
    scene.end(request_, Outcome.CONNECTION_LOST, attempt=0, answered=False)
    scene.wait(20 * S)
    assert len(scene.sends(request_)) == count
    answered = [each.request for each in scene.said(Reject)] + [each.request for each in scene.said(Fail)]
    assert request_ not in answered


def test_disconnect_during_upload_is_not_held_against_endpoint() -> None:
    scene = Stage()
    scene.servers(names(4))
    for number in range(900, 920):
        arrive(scene, number)
        scene.wait(5 * S)
        scene.play(ClientDisconnected(number))
        scene.play(AttemptEnded(number, 0, scene.target(number), Outcome.CANCELLED, 5 * S, True, None, True))
    assert scene.balancer.endpoint_counts() == EndpointCounts(4, 0)
    last = scene.request()
    assert len(scene.sends(last)) == 1
