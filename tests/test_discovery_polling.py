"""When discovery is polled, and how failed calls back off."""

from __future__ import annotations

import itertools

import pytest
from helpers import MS, START, BalancerDriver, S, server_names, settings
from mechanisms import make_context

from balancer.actions import PollEndpoints, WatchEndpoints
from balancer.discovery_polling import DiscoveryPoller
from balancer.events import EndpointListKind, EndpointListReceived
from balancer.scheduler import Scheduler
from balancer.settings import DiscoveryMode


def test_list_is_watched_from_the_first_event() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(2), EndpointListKind.CACHED)
    assert driver.actions_of(WatchEndpoints) == [WatchEndpoints(True)]


def test_list_is_not_polled_where_changes_are_pushed() -> None:
    driver = BalancerDriver(settings(discovery=DiscoveryMode.PUSHED))
    driver.receive_list(server_names(2), EndpointListKind.CACHED)
    driver.wait(60 * S)
    assert driver.actions_of(WatchEndpoints) == [] and driver.actions_of(PollEndpoints) == []


def test_failed_calls_are_repeated_with_backoff_and_never_given_up() -> None:
    driver = BalancerDriver()
    polled_at = []
    driver.receive_list(server_names(2), EndpointListKind.CACHED)
    for _ in range(12):
        polled_at.append(driver.now)
        count = len(driver.actions_of(WatchEndpoints))
        driver.handle(EndpointListReceived(EndpointListKind.FAILED))
        while len(driver.actions_of(WatchEndpoints)) == count:
            driver.wait(5 * MS)
    waits = [later - earlier for earlier, later in itertools.pairwise(polled_at)]
    assert max(waits) < 10 * S / 2
    assert waits[-1] > 2 * waits[0]


def _calls_of_a_cluster(
    cluster_size: int, within_us: int = 20 * S, allowed_us: int = 10 * S
) -> list[list[int]]:
    """When each balancer of a cluster polls after a failure of all at once, while every call fails."""
    calls = []
    for seed in range(cluster_size):
        driver = BalancerDriver(
            settings(cluster_size=cluster_size, guarantees={"max_poll_interval_us": allowed_us}), seed=seed
        )
        driver.receive_list(server_names(2), EndpointListKind.CACHED)
        own: list[int] = []
        while driver.now < START + within_us:
            count = len(driver.actions_of(WatchEndpoints))
            driver.handle(EndpointListReceived(EndpointListKind.FAILED))
            while len(driver.actions_of(WatchEndpoints)) == count:
                driver.wait(20 * MS)
            own.append(driver.now - START)
        calls.append(own)
    return calls


def test_failed_calls_of_a_large_cluster_do_not_add_up() -> None:
    small, large = _calls_of_a_cluster(5), _calls_of_a_cluster(40)
    assert min(map(len, large)) >= 5  # changes have to be known 6 s after discovery could be reached
    assert sum(map(len, large)) < 6 * sum(map(len, small))  # of eight times as many balancers


@pytest.mark.parametrize("cluster_size", [1, 5, 40, 200])
@pytest.mark.parametrize("allowed_us", [5 * S, 10 * S, 60 * S])
def test_backoff_after_a_failed_call_leaves_time_to_recover(cluster_size: int, allowed_us: int) -> None:
    # 6 s after discovery could be reached; the rest is for the call and its place in the queue.
    for own in _calls_of_a_cluster(cluster_size, allowed_us=allowed_us)[:40]:
        assert all(later - earlier <= 3_620 * MS for earlier, later in itertools.pairwise([0, *own]))


@pytest.mark.parametrize("cluster_size", [40, 200])
def test_calls_that_failed_together_are_spread_afterwards(cluster_size: int) -> None:
    calls = sorted(at for own in _calls_of_a_cluster(cluster_size) for at in own)
    even = cluster_size * 500 * MS / (3_600 * MS)  # in half a second, spread over the longest wait
    for begin in range(0, 19 * S, 100 * MS):
        inside = sum(1 for at in calls if begin < at <= begin + 500 * MS)
        assert inside <= 1.4 * even + 3 * even**0.5


def test_call_without_an_answer_is_made_again_in_time() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(2), EndpointListKind.CACHED)
    driver.wait(10 * S)
    times = [at for at, action in driver.actions if isinstance(action, WatchEndpoints)]
    assert len(times) > 1
    assert all(later - earlier < 10 * S for earlier, later in itertools.pairwise(times))


# The mechanism by itself


def test_discovery_polling_plans_replace_each_other() -> None:
    context = make_context()
    poller = DiscoveryPoller(context, Scheduler())
    poller.poll()
    planned = START + int(0.25 * 10 * S)
    assert poller.is_scheduled_at(planned)
    poller.record_failure()
    assert not poller.is_scheduled_at(planned)
    poller.record_list()
    context.begin_event(START + 60 * S)
    poller.poll_if_due()
    assert context.actions == []
