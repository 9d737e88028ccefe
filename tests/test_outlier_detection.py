"""Ejection and readmission of failing endpoints."""

from __future__ import annotations

from helpers import MS, BalancerDriver, S, server_names

from balancer.actions import Log, Reject
from balancer.events import EndpointEntry, EndpointListKind, Outcome
from balancer.outlier_detection import EjectionReason


def _serve_with_a_silent_endpoint(driver: BalancerDriver, count: int) -> tuple[str, list[int]]:
    """Serve healthy traffic, then stop responses of one endpoint; return it and its pending requests."""
    driver.receive_list(server_names(6))
    driver.serve_traffic(120)
    first = driver.start_request()
    silent = driver.target(first)
    pending = [first]
    for _ in range(count):
        driver.wait(10 * MS)
        request = driver.start_request()
        if driver.target(request) == silent:
            pending.append(request)
        else:
            driver.wait(30 * MS)
            driver.end_attempt(request)
    return silent, pending


def test_silent_endpoint_is_ejected_and_its_idempotent_requests_are_hedged() -> None:
    driver = BalancerDriver()
    silent, pending = _serve_with_a_silent_endpoint(driver, 20)
    assert any(action.text.startswith(f"ejected {silent}") for action in driver.actions_of(Log))
    targets = driver.targets(pending[0])
    assert len(targets) > 1 and silent not in targets[1:]


def test_ejected_endpoint_is_readmitted_by_one_trial_at_a_time() -> None:
    driver = BalancerDriver()
    silent, pending = _serve_with_a_silent_endpoint(driver, 20)
    before = driver.targets().count(silent)
    for request in pending:
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


def test_timeout_is_no_failure_if_the_endpoint_answered_others_meanwhile() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(1))
    for _ in range(6):
        driver.serve_traffic(60)
        timed_out = driver.start_request("pay", remaining_us=S)
        driver.wait(900 * MS)
        answered = driver.start_request("pay")
        driver.wait(50 * MS)
        driver.end_attempt(answered)
        driver.wait(30 * MS)
        driver.end_attempt(timed_out, Outcome.TIMED_OUT, answered=False)
    assert not any("ejected" in action.text for action in driver.actions_of(Log))


def test_occasional_connection_losses_do_not_cause_slow_start() -> None:
    # Guards against slow start of all servers in an unreliable network, which would leave none with capacity.
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.serve_traffic(300, every_us=10 * MS)
    attempt_counts = {name: 5 * index for index, name in enumerate(server_names(4))}
    for _ in range(600):
        driver.wait(10 * MS)
        request = driver.start_request()
        while len(driver.sent_attempts(request)) > sum(
            rejection.request == request for rejection in driver.actions_of(Reject)
        ):
            server = driver.target(request)
            attempt_counts[server] += 1
            if attempt_counts[server] % 20 > 1:  # of twenty attempts at a server, two lose their connection
                driver.end_attempt(request)
                break
            driver.end_attempt(request, Outcome.CONNECTION_LOST)
    assert len(driver.actions_of(Reject)) < 12  # of 600: at times all four servers are ejected or on trial
    assert any("dropped" in action.text for action in driver.actions_of(Log))


def test_endpoint_with_failed_connects_is_in_slow_start_after_readmission() -> None:
    # The process died and was restarted before the endpoint list shows it; a full share of the load at once
    # would overload it.
    driver = BalancerDriver()
    driver.receive_list(server_names(4))
    driver.serve_traffic(300, every_us=10 * MS)
    down_server = server_names(4)[0]
    restart_at = driver.now + 4 * S

    def traffic(count: int) -> int:
        """Play a request every 10 ms, each answered after 50 ms; return how many `down_server` answered."""
        requests: list[int] = []
        for _ in range(count):
            driver.wait(10 * MS)
            requests.append(driver.start_request())
            while driver.now < restart_at and driver.target(requests[-1]) == down_server:
                driver.end_attempt(requests[-1], Outcome.CONNECT_FAILED)
            if len(requests) > 5:
                driver.end_attempt(requests[-6])
        for request in requests[-5:]:
            driver.end_attempt(request)
        return sum(driver.target(request) == down_server for request in requests)

    assert traffic(400) == 0
    while "readmitted" not in driver.actions_of(Log)[-1].text:
        traffic(1)
    assert 0 < traffic(200) < 30  # an even share is 50


def test_ejected_endpoints_that_left_the_list_do_not_count_towards_the_limit() -> None:
    # Guards against a deploy that replaces failing servers, after which the next failing one could not be
    # ejected.
    driver = BalancerDriver()
    for generation in range(6):
        listed = [f"10.0.{generation}.{number}:80" for number in range(1, 5)]
        driver.receive_list(listed)
        for _ in range(4):
            requests = [driver.start_request("pay") for _ in range(8)]  # two per server
            driver.wait(50 * MS)
            for request in requests:
                driver.end_attempt(
                    request, Outcome.ERROR if driver.target(request) == listed[0] else Outcome.DELIVERED
                )
        assert any(action.text.startswith(f"ejected {listed[0]}") for action in driver.actions_of(Log)), (
            generation
        )


def test_restarted_endpoint_is_readmitted_in_slow_start() -> None:
    driver = BalancerDriver()
    silent, _ = _serve_with_a_silent_endpoint(driver, 20)
    driver.receive_list([EndpointEntry(silent, "east", started_at=driver.now)], EndpointListKind.CHANGES)
    server = driver.balancer._endpoints.by_name[silent]
    assert server.ejected_until is None and driver.balancer._slow_start.is_warming_up(server)


def _serve_with_dead_endpoints(driver: BalancerDriver, dead: set[str], count: int) -> int:
    """Play requests one at a time; dead servers refuse connections.  Returns the attempts at dead servers."""
    before = len(driver.sent_attempts())
    for _ in range(count):
        driver.wait(200 * MS)
        request = driver.start_request()
        while driver.sent_attempts(request) and driver.target(request) in dead:
            sent = len(driver.sent_attempts(request))
            driver.wait(2 * MS)
            driver.end_attempt(request, Outcome.CONNECT_FAILED)
            if len(driver.sent_attempts(request)) == sent:
                break  # no further attempt
        else:
            driver.wait(40 * MS)
            driver.end_attempt(request)
    return sum(server in dead for server in driver.targets()[before:])


def test_small_balancer_can_eject_more_dead_endpoints_than_its_subset_size() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(60))
    dead = set(server_names(60)[::2])
    _serve_with_dead_endpoints(driver, dead, 100)
    ejected = [action.text for action in driver.actions_of(Log) if action.text.startswith("ejected")]
    assert len(ejected) > 4  # the subset size without requests in flight


def test_trials_of_many_lost_endpoints_take_a_small_fraction_of_requests() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(60))
    lost = set(server_names(60)[::2])
    for name in sorted(lost):
        driver.balancer._outliers.eject(
            driver.balancer._endpoints.by_name[name], EjectionReason.CONNECT_FAILED
        )
    driver.wait(20 * S)  # longer than any ejection
    assert _serve_with_dead_endpoints(driver, lost, 100) <= 0.1 * 100 + 4
    # All servers respond again.  A successful trial is refunded to the budget, so all can be tried in time.
    _serve_with_dead_endpoints(driver, set(), 100)
    readmitted = [action.text for action in driver.actions_of(Log) if action.text.startswith("readmitted")]
    assert len(readmitted) == len(lost)
