"""Effects of the reported cluster size on the balancer: they are bounded, and absent without a report."""

from __future__ import annotations

import itertools

from helpers import MS, BalancerDriver, server_names, settings

from balancer.actions import WatchEndpoints
from balancer.events import ClusterSizeChanged, EndpointEntry, EndpointListKind, EndpointListReceived, Outcome

# Small enough that the recovery time does not limit backoffs; at twice this size it would.
CLUSTER_SIZE = 16


def mean_backoff(event: ClusterSizeChanged | None) -> float:
    """Return the mean time between failing calls to discovery, over many balancers."""
    backoffs: list[int] = []
    for seed in range(30):
        driver = BalancerDriver(settings(cluster_size=CLUSTER_SIZE), seed=seed)
        if event is not None:
            driver.handle(event)
        driver.receive_list(server_names(3))
        polled_at = []
        for _ in range(5):
            driver.handle(EndpointListReceived(EndpointListKind.FAILED))
            before = len(driver.actions_of(WatchEndpoints))
            while len(driver.actions_of(WatchEndpoints)) == before:
                driver.wait(50 * MS)
            polled_at.append(driver.now)
        backoffs += [later - earlier for earlier, later in itertools.pairwise(polled_at)]
    return sum(backoffs) / len(backoffs)


def sent_to_warming_up(event: ClusterSizeChanged | None) -> int:
    """Return how many requests of steady traffic go to a server that has just started."""
    total = 0
    for seed in range(8):
        driver = BalancerDriver(settings(), seed=seed)
        driver.receive_list(server_names(5))
        driver.serve_traffic(300)
        if event is not None:
            driver.handle(event)
        warming_up = EndpointEntry(server_names(5)[0], zone="east", started_at=driver.now)
        driver.receive_list([warming_up], EndpointListKind.CHANGES)
        before = len(driver.actions)
        driver.serve_traffic(100)
        total += sum(
            getattr(action, "server", None) == warming_up.server for _, action in driver.actions[before:]
        )
    return total


def trial_requests(event: ClusterSizeChanged | None) -> int:
    """Return how many requests are sent to servers that are down throughout."""
    total = 0
    for seed in range(6):
        driver = BalancerDriver(settings(), seed=seed)
        lost = server_names(12)[:6]
        if event is not None:
            driver.handle(event)
        driver.receive_list(server_names(12))
        for _ in range(400):
            driver.wait(50 * MS)
            number = driver.start_request()
            while driver.sent_attempts(number):
                if driver.target(number) not in lost:
                    driver.end_attempt(number)
                    break
                total += 1
                before = len(driver.sent_attempts(number))
                driver.end_attempt(number, Outcome.CONNECT_FAILED)
                if len(driver.sent_attempts(number)) == before:
                    break
    return total


def test_unreported_cluster_size_counts_as_a_complete_cluster() -> None:
    complete = ClusterSizeChanged(CLUSTER_SIZE, CLUSTER_SIZE, CLUSTER_SIZE)
    assert mean_backoff(None) == mean_backoff(complete)
    assert sent_to_warming_up(None) == sent_to_warming_up(complete)


def test_fewer_balancers_poll_sooner_and_send_more_trials_but_keep_slow_start_budgets() -> None:
    few = ClusterSizeChanged(CLUSTER_SIZE, CLUSTER_SIZE * 3 // 4, CLUSTER_SIZE * 3 // 4)
    assert mean_backoff(few) < 0.9 * mean_backoff(None)
    # Slow-start budgets depend on a balancer's own rate of responses and not on the number of balancers.
    assert sent_to_warming_up(few) == sent_to_warming_up(None)
    assert trial_requests(few) >= trial_requests(None)


def test_wrong_cluster_size_shortens_backoff_by_at_most_a_factor_of_one_and_a_half() -> None:
    only_itself = ClusterSizeChanged(CLUSTER_SIZE, 1, 1, in_minority=True)
    assert mean_backoff(only_itself) >= mean_backoff(None) / 1.6
    assert sent_to_warming_up(only_itself) == sent_to_warming_up(None)
    assert mean_backoff(ClusterSizeChanged(0, 0, 0)) >= mean_backoff(None) / 1.6
    assert mean_backoff(ClusterSizeChanged(CLUSTER_SIZE, 10 * CLUSTER_SIZE, 0)) == mean_backoff(None)
