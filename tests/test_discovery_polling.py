"""Polling of discovery, and backoff after failed calls."""

from __future__ import annotations

import itertools

import pytest
from component_factories import make_context
from helpers import MS, START, BalancerDriver, S, server_names, settings

from balancer.actions import PollEndpoints, WatchEndpoints
from balancer.discovery_polling import DiscoveryPoller
from balancer.events import EndpointListKind, EndpointListReceived
from balancer.scheduler import Scheduler
from balancer.settings import DiscoveryMode


def test_endpoint_list_is_watched_from_the_first_event() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(2), EndpointListKind.CACHED)
    assert driver.actions_of(WatchEndpoints) == [WatchEndpoints(True)]


def test_endpoint_list_is_not_polled_if_changes_are_pushed() -> None:
    driver = BalancerDriver(settings(discovery=DiscoveryMode.PUSHED))
    driver.receive_list(server_names(2), EndpointListKind.CACHED)
    driver.wait(60 * S)
    assert driver.actions_of(WatchEndpoints) == [] and driver.actions_of(PollEndpoints) == []


def test_failed_calls_are_repeated_with_backoff_without_end() -> None:
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
    cluster_size: int, duration_us: int = 20 * S, max_poll_interval_us: int = 10 * S
) -> list[list[int]]:
    """Return when each balancer polls, relative to the start, while all calls of a cluster fail."""
    calls = []
    for seed in range(cluster_size):
        driver = BalancerDriver(
            settings(cluster_size=cluster_size, guarantees={"max_poll_interval_us": max_poll_interval_us}),
            seed=seed,
        )
        driver.receive_list(server_names(2), EndpointListKind.CACHED)
        polled_at: list[int] = []
        while driver.now < START + duration_us:
            count = len(driver.actions_of(WatchEndpoints))
            driver.handle(EndpointListReceived(EndpointListKind.FAILED))
            while len(driver.actions_of(WatchEndpoints)) == count:
                driver.wait(20 * MS)
            polled_at.append(driver.now - START)
        calls.append(polled_at)
    return calls


def test_call_rate_of_a_large_cluster_grows_less_than_its_size() -> None:
    small, large = _calls_of_a_cluster(5), _calls_of_a_cluster(40)
    assert min(map(len, large)) >= 5  # changes must be known 6 s after discovery can be reached again
    assert sum(map(len, large)) < 6 * sum(map(len, small))  # from eight times as many balancers


@pytest.mark.parametrize("cluster_size", [1, 5, 40, 200])
@pytest.mark.parametrize("max_poll_interval_us", [5 * S, 10 * S, 60 * S])
def test_backoff_after_a_failed_call_leaves_time_to_recover(
    cluster_size: int, max_poll_interval_us: int
) -> None:
    # Changes must be known 6 s after discovery can be reached again; the rest is for the call and the queue.
    for polled_at in _calls_of_a_cluster(cluster_size, max_poll_interval_us=max_poll_interval_us)[:40]:
        assert all(later - earlier <= 3_620 * MS for earlier, later in itertools.pairwise([0, *polled_at]))


@pytest.mark.parametrize("cluster_size", [40, 200])
def test_calls_that_failed_together_are_spread_over_time(cluster_size: int) -> None:
    calls = sorted(at for polled_at in _calls_of_a_cluster(cluster_size) for at in polled_at)
    # Calls in half a second if they were spread evenly over the longest wait.
    mean_calls = cluster_size * 500 * MS / (3_600 * MS)
    for begin in range(0, 19 * S, 100 * MS):
        calls_in_window = sum(1 for at in calls if begin < at <= begin + 500 * MS)
        assert calls_in_window <= 1.4 * mean_calls + 3 * mean_calls**0.5


def test_call_without_an_answer_is_repeated_within_the_poll_interval() -> None:
    driver = BalancerDriver()
    driver.receive_list(server_names(2), EndpointListKind.CACHED)
    driver.wait(10 * S)
    times = [at for at, action in driver.actions if isinstance(action, WatchEndpoints)]
    assert len(times) > 1
    assert all(later - earlier < 10 * S for earlier, later in itertools.pairwise(times))


# Unit test of the poller


def test_discovery_polling_replaces_the_scheduled_poll() -> None:
    context = make_context()
    poller = DiscoveryPoller(context, Scheduler())
    poller.poll()
    due = START + int(0.25 * 10 * S)
    assert poller.is_scheduled_at(due)
    poller.record_failure()
    assert not poller.is_scheduled_at(due)
    poller.record_list()
    context.begin_event(START + 60 * S)
    poller.poll_if_due()
    assert context.actions == []
