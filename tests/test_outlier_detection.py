"""Ejection of failing endpoints and their readmission."""

from __future__ import annotations

from helpers import MS, BalancerDriver, S, server_names

from balancer.actions import Log, Reject
from balancer.events import EndpointEntry, EndpointListKind, Outcome
from balancer.outlier_detection import EjectionReason


def _with_one_silent(driver: BalancerDriver, rounds: int) -> tuple[str, list[int]]:
    """Good traffic, except that one server answers nothing from some moment on."""
    driver.receive_list(server_names(6))
    driver.serve_traffic(120)
    first = driver.start_request()
    silent = driver.target(first)
    stuck = [first]
    for _ in range(rounds):
        driver.wait(10 * MS)
        request = driver.start_request()
        if driver.target(request) == silent:
            stuck.append(request)
        else:
            driver.wait(30 * MS)
            driver.end_attempt(request)
    return silent, stuck


def test_silent_endpoint_is_ejected_while_others_respond_and_its_idempotent_requests_are_hedged() -> None:
    driver = BalancerDriver()
    silent, stuck = _with_one_silent(driver, 20)
    assert any(action.text.startswith(f"ejected {silent}") for action in driver.actions_of(Log))
    copies = driver.targets(stuck[0])
    assert len(copies) > 1 and silent not in copies[1:]


def test_ejected_endpoint_is_readmitted_by_one_trial_at_a_time() -> None:
    driver = BalancerDriver()
    silent, stuck = _with_one_silent(driver, 20)
    before = driver.targets().count(silent)
    for request in stuck:
        driver.end_attempt(request, Outcome.TIMED_OUT, attempt=0, answered=False)
    for _ in range(60):
        driver.wait(60 * MS)
        request = driver.start_request()
        if driver.target(request) != silent:
            driver.end_attempt(request)
    trials = driver.targets().count(silent) - before
    assert trials == 1
    trial = next(
        attempt.request for _, attempt in reversed(driver.sent_attempts()) if attempt.server == silent
    )
    driver.end_attempt(trial, attempt=0)
    assert driver.actions_of(Log)[-1].text == f"readmitted {silent}"


def test_silent_endpoints_are_not_all_ejected() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(6))
    driver.serve_traffic(120)
    for _ in range(200):
        driver.start_request("pay")
        driver.wait(15 * MS)
    ejected = [
        endpoint
        for endpoint in driver.balancer._endpoints.by_name.values()
        if endpoint.ejected_until is not None
    ]
    assert len(ejected) <= 2


def test_timeout_is_no_failure_of_an_endpoint_that_answered_others() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(1))
    for _ in range(6):
        driver.serve_traffic(60)
        old = driver.start_request("pay", remaining_us=S)
        driver.wait(900 * MS)
        new = driver.start_request("pay")
        driver.wait(50 * MS)
        driver.end_attempt(new)
        driver.wait(30 * MS)
        driver.end_attempt(old, Outcome.TIMED_OUT, answered=False)
    assert not any("ejected" in action.text for action in driver.actions_of(Log))


def test_endpoints_whose_connections_break_now_and_then_do_not_start_slowly() -> None:
    # Guards against a flaky network that leaves no server to send to: all would pass for newly started.
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.serve_traffic(300, every_us=10 * MS)
    ends = {name: 5 * index for index, name in enumerate(server_names(4))}
    for _ in range(600):
        driver.wait(10 * MS)
        request = driver.start_request()
        while len(driver.sent_attempts(request)) > sum(
            rejection.request == request for rejection in driver.actions_of(Reject)
        ):
            server = driver.target(request)
            ends[server] += 1
            if ends[server] % 20 > 1:  # of twenty in a row at a server, two break
                driver.end_attempt(request)
                break
            driver.end_attempt(request, Outcome.CONNECTION_LOST)
    assert len(driver.actions_of(Reject)) < 12  # of 600: by chance all four are ejected or tried
    assert any("dropped" in action.text for action in driver.actions_of(Log))


def test_endpoint_that_could_not_be_connected_to_starts_slowly() -> None:
    # Its process died and is back before the list says so: a full share at once would push it over.
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.serve_traffic(300, every_us=10 * MS)
    away = server_names(4)[0]
    back_at = driver.now + 4 * S

    def traffic(count: int) -> int:
        """Play a request every 10 ms, each answered after 50 ms; give how many `away` took."""
        requests: list[int] = []
        for _ in range(count):
            driver.wait(10 * MS)
            requests.append(driver.start_request())
            while driver.now < back_at and driver.target(requests[-1]) == away:
                driver.end_attempt(requests[-1], Outcome.CONNECT_FAILED)
            if len(requests) > 5:
                driver.end_attempt(requests[-6])
        for request in requests[-5:]:
            driver.end_attempt(request)
        return sum(driver.target(request) == away for request in requests)

    assert traffic(400) == 0
    while "readmitted" not in driver.actions_of(Log)[-1].text:
        traffic(1)
    assert 0 < traffic(200) < 30  # an even share is 50


def test_ejected_endpoints_that_left_make_room_for_others_to_be_ejected() -> None:
    # Guards against a deploy that replaces failing servers: the next one to fail could not be ejected.
    driver = BalancerDriver()
    for generation in range(6):
        listed = [f"10.0.{generation}.{number}:80" for number in range(1, 5)]
        driver.receive_list(listed)
        for _ in range(4):
            requests = [driver.start_request("pay") for _ in range(8)]  # two for each server
            driver.wait(50 * MS)
            for request in requests:
                driver.end_attempt(
                    request, Outcome.ERROR if driver.target(request) == listed[0] else Outcome.DELIVERED
                )
        assert any(action.text.startswith(f"ejected {listed[0]}") for action in driver.actions_of(Log)), (
            generation
        )


def test_restarted_endpoint_is_readmitted_and_starts_slowly() -> None:
    driver = BalancerDriver()
    silent, _ = _with_one_silent(driver, 20)
    driver.receive_list([EndpointEntry(silent, "east", started_at=driver.now)], EndpointListKind.CHANGES)
    server = driver.balancer._endpoints.by_name[silent]
    assert server.ejected_until is None and driver.balancer._slow_start.is_warming_up(server)


def _serve_among_dead(driver: BalancerDriver, dead: set[str], count: int) -> int:
    """Singly served requests; nobody is at the dead servers.  Returns how many attempts went to them."""
    before = len(driver.sent_attempts())
    for _ in range(count):
        driver.wait(200 * MS)
        request = driver.start_request()
        while driver.sent_attempts(request) and driver.target(request) in dead:
            sent = len(driver.sent_attempts(request))
            driver.wait(2 * MS)
            driver.end_attempt(request, Outcome.CONNECT_FAILED)
            if len(driver.sent_attempts(request)) == sent:
                break  # abandoned
        else:
            driver.wait(40 * MS)
            driver.end_attempt(request)
    return sum(server in dead for server in driver.targets()[before:])


def test_small_balancer_ejects_more_dead_endpoints_than_its_subset_holds() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(60))
    dead = set(server_names(60)[::2])
    _serve_among_dead(driver, dead, 100)
    ejected = [action.text for action in driver.actions_of(Log) if action.text.startswith("ejected")]
    assert len(ejected) > 4  # what a balancer at rest draws from


def test_trials_of_many_lost_endpoints_take_a_small_part_of_the_traffic() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(60))
    lost = set(server_names(60)[::2])
    for name in sorted(lost):
        driver.balancer._outliers.eject(
            driver.balancer._endpoints.by_name[name], EjectionReason.CONNECT_FAILED
        )
    driver.wait(20 * S)  # all have waited long enough
    assert _serve_among_dead(driver, lost, 100) <= 0.1 * 100 + 4
    _serve_among_dead(driver, set(), 100)  # they are back: a trial that is answered costs nothing
    found = [action.text for action in driver.actions_of(Log) if action.text.startswith("readmitted")]
    assert len(found) == len(lost)
