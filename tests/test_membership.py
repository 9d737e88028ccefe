"""Membership in virtual time, under faults; the simulated members run the sidecar's own code."""

from __future__ import annotations

import pytest

from sidecar.cluster.actions import DuplicateMember, MemberStateChanged, ProcessStalled
from sidecar.cluster.message import MemberState
from sidecar.cluster.settings import MembershipSettings
from testbed.cluster_simulation.virtual import VirtualCluster

# Time to agreement after a fault, as docs/membership.md states it for clusters of up to 20 members at rest.
HEALED_S = 60.0


def agreed_cluster(size: int, **options: object) -> VirtualCluster:
    """Return a cluster whose members all know each other, with an empty list of reports."""
    cluster = VirtualCluster(size, **options)  # type: ignore[arg-type]
    assert cluster.until_agreed(30.0) is not None
    cluster.run(10.0)
    cluster.reports.clear()
    return cluster


def partition(cluster: VirtualCluster, *groups: set[int]) -> None:
    """Cut all links between members of different groups."""
    group_of = {member: number for number, group in enumerate(groups) for member in group}
    cluster.is_partitioned = lambda source, target: group_of[source] != group_of[target]


def heal(cluster: VirtualCluster) -> None:
    cluster.is_partitioned = lambda source, target: False


def test_members_started_at_once_agree_without_suspicions() -> None:
    cluster = VirtualCluster(30)
    assert cluster.until_agreed(30.0) is not None
    assert not cluster.state_changes(MemberState.SUSPECTED) and not cluster.state_changes(MemberState.DEAD)
    assert {cluster.membership_of(number).size().present for number in cluster.alive} == {30}


@pytest.mark.parametrize("size", [1, 2, 3])
def test_small_cluster_agrees_after_kill_start_and_leave(size: int) -> None:
    cluster = VirtualCluster(size)
    assert cluster.until_agreed(5.0) is not None
    if size > 1:
        cluster.kill(1)
        assert cluster.until_agreed(40.0) is not None
        cluster.start(1)
        assert cluster.until_agreed(HEALED_S) is not None
        cluster.leave(1)
        assert cluster.until_agreed(1.0) is not None
    assert cluster.membership_of(0).size().present == max(size - 1, 1)


def test_killed_member_is_declared_dead() -> None:
    cluster = agreed_cluster(12)
    cluster.kill(3)
    assert cluster.until_agreed(40.0) is not None
    assert cluster.state_changes(MemberState.DEAD, 3)
    assert {change.member for _, _, change in cluster.state_changes(MemberState.DEAD)} == {3}


def test_leave_is_known_to_all_at_once_without_suspicion() -> None:
    cluster = agreed_cluster(12)
    cluster.leave(4)
    assert cluster.until_agreed(0.5) is not None
    assert {reporter for _, reporter, _ in cluster.state_changes(MemberState.LEFT, 4)} == set(cluster.alive)
    assert not cluster.state_changes(MemberState.SUSPECTED, 4)


def test_restarted_member_has_later_incarnation() -> None:
    cluster = agreed_cluster(8)
    old_incarnation = cluster.membership_of(2).incarnation
    cluster.kill(2)
    cluster.run(0.3)
    cluster.start(2)
    assert cluster.until_agreed(HEALED_S) is not None
    assert cluster.membership_of(2).incarnation > old_incarnation
    assert {cluster.membership_of(number).table[2].update.incarnation for number in cluster.alive} == {
        cluster.membership_of(2).incarnation
    }


def test_restart_with_slow_clock_takes_later_incarnation() -> None:
    cluster = agreed_cluster(8)
    old_incarnation = cluster.membership_of(2).incarnation
    cluster.kill(2)
    cluster.start(2, clock_offset_s=-86_400.0)
    assert cluster.until_agreed(HEALED_S) is not None
    assert cluster.membership_of(2).incarnation > old_incarnation


@pytest.mark.parametrize("clock_offset_s", [-1e10, -3_600.0, 3_600.0, 1e10])
def test_clock_step_between_starts_ends_in_agreement(clock_offset_s: float) -> None:
    cluster = agreed_cluster(5)
    for step in (clock_offset_s, 0.0):
        cluster.kill(1)
        cluster.start(1, clock_offset_s=step)
        assert cluster.until_agreed(HEALED_S) is not None


def test_partition_in_halves_puts_both_in_minority_and_heals() -> None:
    cluster = agreed_cluster(10)
    one, other = set(range(5)), set(range(5, 10))
    partition(cluster, one, other)
    cluster.run(120.0)
    for number in range(10):
        size = cluster.membership_of(number).size()
        assert size.dead == 5 and size.is_in_minority
    heal(cluster)
    assert cluster.until_agreed(HEALED_S) is not None
    assert not cluster.membership_of(0).size().is_in_minority


def test_partition_in_three_heals_and_small_parts_are_in_minority() -> None:
    cluster = agreed_cluster(10)
    partition(cluster, {0, 1}, {2, 3}, {4, 5, 6, 7, 8, 9})
    cluster.run(200.0)
    in_minority = [cluster.membership_of(number).size().is_in_minority for number in range(10)]
    assert in_minority == [True] * 4 + [False] * 6
    heal(cluster)
    assert cluster.until_agreed(HEALED_S) is not None


def test_one_way_partition_ends_in_agreement() -> None:
    cluster = agreed_cluster(8)
    # Member 3 receives, but nothing from it arrives.
    cluster.is_partitioned = lambda source, target: source == 3
    cluster.run(100.0)
    assert all(cluster.membership_of(number).table[3].has_ended for number in cluster.alive if number != 3)
    heal(cluster)
    assert cluster.until_agreed(HEALED_S) is not None


def test_one_broken_link_declares_nobody_dead() -> None:
    cluster = agreed_cluster(8)
    cluster.is_partitioned = lambda source, target: {source, target} == {1, 2}
    cluster.run(120.0)
    assert not cluster.state_changes(MemberState.DEAD)
    heal(cluster)
    assert cluster.until_agreed(HEALED_S) is not None


def test_short_pause_is_reported_and_declares_nobody_dead() -> None:
    cluster = agreed_cluster(30, settings=MembershipSettings(suspicion_periods=20.0))
    process = cluster.processes[4][0]
    process.pause()
    cluster.run(10.0)
    process.resume()
    assert cluster.until_agreed(HEALED_S) is not None
    assert not cluster.state_changes(MemberState.DEAD)
    assert any(isinstance(action, ProcessStalled) for _, reporter, action in cluster.reports if reporter == 4)


def test_paused_member_declared_dead_returns_as_new_incarnation() -> None:
    cluster = agreed_cluster(7)
    process, old_incarnation = cluster.processes[4][0], cluster.membership_of(4).incarnation
    process.pause()
    cluster.run(60.0)
    assert cluster.state_changes(MemberState.DEAD, 4)
    process.resume()
    assert cluster.until_agreed(HEALED_S) is not None
    assert cluster.membership_of(4).incarnation > old_incarnation


def test_resumed_member_degrades_its_own_health_and_suspects_nobody() -> None:
    cluster = agreed_cluster(20)
    process = cluster.processes[4][0]
    process.pause()
    cluster.run(10.0)
    process.resume()
    health = cluster.membership_of(4).health.score
    cluster.run(60.0)
    assert health == 7
    assert not [
        action
        for _, reporter, action in cluster.reports
        if reporter == 4 and isinstance(action, MemberStateChanged) and action.reported_by == 4
    ]


def test_isolated_member_degrades_its_own_health_before_it_suspects_others() -> None:
    cluster = agreed_cluster(20)
    partition(cluster, {4}, set(range(20)) - {4})
    cluster.run(12.0)
    assert cluster.membership_of(4).health.score >= 2
    assert not [
        action
        for _, reporter, action in cluster.reports
        if reporter == 4 and isinstance(action, MemberStateChanged)
    ]


def test_mass_failure_is_detected_and_restarted_members_rejoin() -> None:
    cluster = agreed_cluster(20)
    for number in range(14):
        cluster.kill(number)
    assert cluster.until_agreed(120.0) is not None
    assert cluster.membership_of(19).size().present == 6 and cluster.membership_of(19).size().is_in_minority
    for number in range(14):
        cluster.start(number)
    assert cluster.until_agreed(HEALED_S) is not None


def test_rolling_restart_declares_nobody_dead() -> None:
    cluster = agreed_cluster(20)
    for first in range(0, 20, 2):
        for number in (first, first + 1):
            cluster.leave(number)
        cluster.run(0.5)
        for number in (first, first + 1):
            cluster.start(number)
        cluster.run(1.0)
    assert cluster.until_agreed(HEALED_S) is not None
    assert not cluster.state_changes(MemberState.DEAD)


def test_flapping_member_ends_in_agreement() -> None:
    cluster = agreed_cluster(8)
    for _ in range(20):
        cluster.kill(3)
        cluster.run(0.5)
        cluster.start(3)
        cluster.run(0.5)
    assert cluster.until_agreed(HEALED_S) is not None
    assert {change.member for _, _, change in cluster.state_changes(MemberState.DEAD)} <= {3}


def test_duplicated_and_reordered_datagrams_declare_nobody_dead() -> None:
    cluster = agreed_cluster(8)
    cluster.duplicate_probability = cluster.late_probability = 0.5
    cluster.run(200.0)
    assert not cluster.state_changes(MemberState.DEAD)
    cluster.kill(1)
    assert cluster.until_agreed(HEALED_S) is not None


def test_delayed_datagrams_do_not_revive_dead_member() -> None:
    cluster = agreed_cluster(8)
    until = cluster.queue.now + 30_000_000
    cluster.held_until = lambda source, target: until if source == 3 else 0
    cluster.run(5.0)
    cluster.kill(3)
    cluster.run(24.0)
    cluster.reports.clear()
    assert cluster.until_agreed(HEALED_S) is not None
    assert not cluster.state_changes(MemberState.PRESENT, 3)


def test_members_agree_after_heavy_loss_and_detect_a_death_under_it() -> None:
    cluster = agreed_cluster(7)
    cluster.loss = 0.3
    cluster.run(600.0)
    cluster.loss = 0.0
    assert cluster.until_agreed(HEALED_S) is not None
    cluster.reports.clear()
    cluster.loss = 0.3
    cluster.kill(2)
    cluster.run(120.0)
    assert all(cluster.membership_of(number).table[2].has_ended for number in cluster.alive)


def test_upgrade_with_two_processes_is_one_live_member() -> None:
    cluster = agreed_cluster(10)
    old_incarnation = cluster.membership_of(4).incarnation
    cluster.upgrade(4, overlap_us=20_000_000)
    cluster.run(19.0)
    assert {cluster.membership_of(number).table[4].update.incarnation for number in cluster.alive} == {
        cluster.membership_of(4).incarnation
    }
    cluster.run(20.0)
    assert cluster.is_agreed() and cluster.membership_of(4).incarnation > old_incarnation
    for state in (MemberState.SUSPECTED, MemberState.DEAD, MemberState.LEFT):
        assert not cluster.state_changes(state, 4)


def test_old_process_announces_nothing_when_an_upgrade_ends_it() -> None:
    cluster = agreed_cluster(10)
    cluster.upgrade(4, overlap_us=0)
    assert cluster.until_agreed(HEALED_S) is not None
    for state in (MemberState.SUSPECTED, MemberState.DEAD, MemberState.LEFT):
        assert not cluster.state_changes(state, 4)


def test_duplicate_processes_are_reported_and_stay_present() -> None:
    cluster = agreed_cluster(6)
    cluster.start(2)
    cluster.run(300.0)
    reports = [action for _, _, action in cluster.reports if isinstance(action, DuplicateMember)]
    assert 2 <= len(reports) <= 12  # repeated, but at a low rate
    assert not cluster.state_changes(MemberState.DEAD) and not cluster.state_changes(MemberState.LEFT)
    assert all(cluster.membership_of(number).size().present == 6 for number in cluster.alive if number != 2)


def test_peers_reconfigured_during_partition_end_in_agreement() -> None:
    cluster = agreed_cluster(6)
    partition(cluster, {0, 1, 2}, {3, 4, 5, 6, 7})
    cluster.run(60.0)
    cluster.size = 8
    for number in cluster.alive:
        process = cluster.processes[number][0]
        process.execute(process.membership.configure(cluster.queue.now, 8, cluster.settings))
    cluster.start(6)
    cluster.start(7)
    cluster.run(20.0)
    heal(cluster)
    assert cluster.until_agreed(HEALED_S) is not None
    for number in (6, 7):
        cluster.leave(number)
    cluster.size = 6
    for number in cluster.alive:
        process = cluster.processes[number][0]
        process.execute(process.membership.configure(cluster.queue.now, 6, cluster.settings))
    assert cluster.until_agreed(HEALED_S) is not None
    assert len(cluster.membership_of(0).table) == 6


def test_slow_members_are_not_declared_dead() -> None:
    cluster = agreed_cluster(20)
    for number in (3, 7):
        cluster.processes[number][0].processing_delay_us = 300_000
    cluster.run(300.0)
    assert not cluster.state_changes(MemberState.DEAD)


def test_datagrams_at_rest_stay_within_rate_limit() -> None:
    cluster = agreed_cluster(20)
    sent_before = {number: cluster.processes[number][0].sent for number in cluster.alive}
    cluster.run(100.0)
    sent = [cluster.processes[number][0].sent - sent_before[number] for number in cluster.alive]
    assert max(sent) <= 106  # one per second, and the tokens that were unused before


def test_requests_shorten_the_protocol_period() -> None:
    cluster = agreed_cluster(20)
    member = cluster.membership_of(0)
    period_at_rest_us = member._context.period_us(cluster.queue.now)
    member.requests_received(cluster.queue.now, 200)
    assert member._context.period_us(cluster.queue.now) < period_at_rest_us
