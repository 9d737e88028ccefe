"""Ejection of failing endpoints and their readmission."""

from __future__ import annotations

from helpers import MS, S, Stage, names

from balancer.actions import Log, Reject
from balancer.events import EndpointEntry, EndpointListKind, Outcome
from balancer.outlier_detection import EjectionReason


def _with_one_silent(stage: Stage, rounds: int) -> tuple[str, list[int]]:
    """Good traffic, except that one server answers nothing from some moment on."""
    stage.servers(names(6))
    stage.serve(120)
    first = stage.request()
    silent = stage.target(first)
    stuck = [first]
    for _ in range(rounds):
        stage.wait(10 * MS)
        request = stage.request()
        if stage.target(request) == silent:
            stuck.append(request)
        else:
            stage.wait(30 * MS)
            stage.end(request)
    return silent, stuck


def test_silent_endpoint_is_ejected_while_others_respond_and_its_idempotent_requests_are_hedged() -> None:
    stage = Stage()
    silent, stuck = _with_one_silent(stage, 20)
    assert any(action.text.startswith(f"ejected {silent}") for action in stage.said(Log))
    copies = stage.targets(stuck[0])
    assert len(copies) > 1 and silent not in copies[1:]


def test_ejected_endpoint_is_readmitted_by_one_trial_at_a_time() -> None:
    stage = Stage()
    silent, stuck = _with_one_silent(stage, 20)
    before = stage.targets().count(silent)
    for request in stuck:
        stage.end(request, Outcome.TIMED_OUT, attempt=0, answered=False)
    for _ in range(60):
        stage.wait(60 * MS)
        request = stage.request()
        if stage.target(request) != silent:
            stage.end(request)
    trials = stage.targets().count(silent) - before
    assert trials == 1
    trial = next(attempt.request for _, attempt in reversed(stage.sends()) if attempt.server == silent)
    stage.end(trial, attempt=0)
    assert stage.said(Log)[-1].text == f"readmitted {silent}"


def test_silent_endpoints_are_not_all_ejected() -> None:
    stage = Stage()
    stage.servers(names(6))
    stage.serve(120)
    for _ in range(200):
        stage.request("pay")
        stage.wait(15 * MS)
    ejected = [
        endpoint
        for endpoint in stage.balancer._endpoints.by_name.values()
        if endpoint.ejected_until is not None
    ]
    assert len(ejected) <= 2


def test_timeout_is_no_failure_of_an_endpoint_that_answered_others() -> None:
    stage = Stage()
    stage.servers(names(1))
    for _ in range(6):
        stage.serve(60)
        old = stage.request("pay", remaining_us=S)
        stage.wait(900 * MS)
        new = stage.request("pay")
        stage.wait(50 * MS)
        stage.end(new)
        stage.wait(30 * MS)
        stage.end(old, Outcome.TIMED_OUT, answered=False)
    assert not any("ejected" in action.text for action in stage.said(Log))


def test_endpoints_whose_connections_break_now_and_then_do_not_start_slowly() -> None:
    # Guards against a flaky network that leaves no server to send to: all would pass for newly started.
    stage = Stage()
    stage.servers(names(4))
    stage.serve(300, every_us=10 * MS)
    ends = {name: 5 * index for index, name in enumerate(names(4))}
    for _ in range(600):
        stage.wait(10 * MS)
        request = stage.request()
        while len(stage.sends(request)) > sum(
            rejection.request == request for rejection in stage.said(Reject)
        ):
            server = stage.target(request)
            ends[server] += 1
            if ends[server] % 20 > 1:  # of twenty in a row at a server, two break
                stage.end(request)
                break
            stage.end(request, Outcome.CONNECTION_LOST)
    assert len(stage.said(Reject)) < 12  # of 600: by chance all four are ejected or tried
    assert any("dropped" in action.text for action in stage.said(Log))


def test_endpoint_that_could_not_be_connected_to_starts_slowly() -> None:
    # Its process died and is back before the list says so: a full share at once would push it over.
    stage = Stage()
    stage.servers(names(4))
    stage.serve(300, every_us=10 * MS)
    away = names(4)[0]
    back_at = stage.now + 4 * S

    def traffic(count: int) -> int:
        """Play a request every 10 ms, each answered after 50 ms; give how many `away` took."""
        requests: list[int] = []
        for _ in range(count):
            stage.wait(10 * MS)
            requests.append(stage.request())
            while stage.now < back_at and stage.target(requests[-1]) == away:
                stage.end(requests[-1], Outcome.CONNECT_FAILED)
            if len(requests) > 5:
                stage.end(requests[-6])
        for request in requests[-5:]:
            stage.end(request)
        return sum(stage.target(request) == away for request in requests)

    assert traffic(400) == 0
    while "readmitted" not in stage.said(Log)[-1].text:
        traffic(1)
    assert 0 < traffic(200) < 30  # an even share is 50


def test_ejected_endpoints_that_left_make_room_for_others_to_be_ejected() -> None:
    # Guards against a deploy that replaces failing servers: the next one to fail could not be ejected.
    stage = Stage()
    for generation in range(6):
        listed = [f"10.0.{generation}.{number}:80" for number in range(1, 5)]
        stage.servers(listed)
        for _ in range(4):
            requests = [stage.request("pay") for _ in range(8)]  # two for each server
            stage.wait(50 * MS)
            for request in requests:
                stage.end(request, Outcome.ERROR if stage.target(request) == listed[0] else Outcome.DELIVERED)
        assert any(action.text.startswith(f"ejected {listed[0]}") for action in stage.said(Log)), generation


def test_restarted_endpoint_is_readmitted_and_starts_slowly() -> None:
    stage = Stage()
    silent, _ = _with_one_silent(stage, 20)
    stage.servers([EndpointEntry(silent, "east", started_at=stage.now)], EndpointListKind.CHANGES)
    server = stage.balancer._endpoints.by_name[silent]
    assert server.ejected_until is None and stage.balancer._slow_start.is_warming_up(server)


def _serve_among_dead(stage: Stage, dead: set[str], count: int) -> int:
    """Singly served requests; nobody is at the dead servers.  Returns how many attempts went to them."""
    before = len(stage.sends())
    for _ in range(count):
        stage.wait(200 * MS)
        request = stage.request()
        while stage.sends(request) and stage.target(request) in dead:
            sent = len(stage.sends(request))
            stage.wait(2 * MS)
            stage.end(request, Outcome.CONNECT_FAILED)
            if len(stage.sends(request)) == sent:
                break  # abandoned
        else:
            stage.wait(40 * MS)
            stage.end(request)
    return sum(server in dead for server in stage.targets()[before:])


def test_small_balancer_ejects_more_dead_endpoints_than_its_subset_holds() -> None:
    stage = Stage()
    stage.servers(names(60))
    dead = set(names(60)[::2])
    _serve_among_dead(stage, dead, 100)
    ejected = [action.text for action in stage.said(Log) if action.text.startswith("ejected")]
    assert len(ejected) > 4  # what a balancer at rest draws from


def test_trials_of_many_lost_endpoints_take_a_small_part_of_the_traffic() -> None:
    stage = Stage()
    stage.servers(names(60))
    lost = set(names(60)[::2])
    for name in sorted(lost):
        stage.balancer._outliers.eject(stage.balancer._endpoints.by_name[name], EjectionReason.CONNECT_FAILED)
    stage.wait(20 * S)  # all have waited long enough
    assert _serve_among_dead(stage, lost, 100) <= 0.1 * 100 + 4
    _serve_among_dead(stage, set(), 100)  # they are back: a trial that is answered costs nothing
    found = [action.text for action in stage.said(Log) if action.text.startswith("readmitted")]
    assert len(found) == len(lost)
