"""Rollout of configuration versions in virtual time, under faults; members run the sidecar's own code."""

from __future__ import annotations

import random
import time

import pytest

from sidecar.cluster.actions import SendDatagram
from sidecar.cluster.aggregation import AggregationRound
from sidecar.cluster.limits import MAX_CONFIGURATION_VERSION
from sidecar.cluster.member_set import member_bit
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.message import DropReason, cluster_id
from sidecar.cluster.rollout import Rollout
from sidecar.cluster.rollout_actions import (
    AmbiguousVersion,
    ReadConfiguration,
    RolloutConcluded,
    VersionForgotten,
    VersionMissing,
)
from sidecar.cluster.rollout_message import MAX_ROUND_NUMBER, ExchangeKind, encode, is_rollout_message
from sidecar.cluster.rollout_status import MAX_LISTED_MEMBERS
from sidecar.cluster.settings import RolloutSettings
from testbed.cluster_simulation.versions import ConfigurationFile, VersionedCluster, VersionedProcess
from testbed.cluster_simulation.virtual import Process

IN_FORCE_S = 6.0  # twice the time in which a version has to be in force everywhere
S = 1_000_000


def cluster_with_version_1(size: int, **options: object) -> VersionedCluster:
    """Return a cluster in which version 1 is in force everywhere and all members know that it is."""
    cluster = VersionedCluster(size, **options)  # type: ignore[arg-type]
    assert cluster.until_known(60.0) is not None
    cluster.run(20.0)
    cluster.rollout_reports.clear()
    return cluster


def reporters_of(cluster: VersionedCluster, kind: type, version: int) -> list[int]:
    """Return the members that made a report of this kind about a version, once for each report."""
    return [
        reporter
        for _, reporter, report in cluster.rollout_reports
        if isinstance(report, kind)
        and (report.status.version if isinstance(report, RolloutConcluded) else report.version) == version
    ]


# Spreading of a version from one member


def test_published_version_comes_in_force_everywhere_and_all_members_know_it() -> None:
    cluster = cluster_with_version_1(30)
    cluster.publish(2, first=4)
    assert cluster.until_in_force(2, IN_FORCE_S) is not None
    assert cluster.until_known(IN_FORCE_S) is not None
    cluster.run(1.0)
    assert sorted(reporters_of(cluster, RolloutConcluded, 2)) == list(range(30))  # one report each
    status = cluster.status(7)
    assert (status.version, status.in_force_count, status.required_count) == (2, 30, 30)
    assert status.behind == status.missing == ()


def test_status_lists_member_without_the_file_as_behind() -> None:
    cluster = cluster_with_version_1(10)
    cluster.publish(2, first=0, members=range(9))  # member 9 does not get the file
    cluster.run(30.0)
    for number in range(10):
        assert cluster.status(number).is_in_force_everywhere is False
        assert cluster.status(number).behind == (9,)
    assert cluster.versioned(9).rollout.version == 1


def test_member_pending_a_restart_is_behind() -> None:
    cluster = cluster_with_version_1(10)
    pending = cluster.versioned(9)
    # A part of member 9's file takes effect only at a restart.
    pending.execute_rollout(pending.rollout.configuration_pending(cluster.queue.now, 2))
    cluster.publish(2, first=0, members=range(9))
    cluster.run(30.0)
    for number in range(10):
        assert cluster.status(number).is_in_force_everywhere is False
        assert cluster.status(number).behind == (9,)
    assert pending.rollout.version == 1


def test_late_file_is_applied_without_a_signal() -> None:
    cluster = cluster_with_version_1(10)
    cluster.publish(2, first=0, members=range(9))
    cluster.run(20.0)
    cluster.files[9] = ConfigurationFile.of(2)
    assert cluster.until_in_force(2, 4.0 * 1.2 + 0.1) is not None
    assert cluster.until_known(60.0) is not None


def test_missing_file_is_read_at_bounded_rate_and_reported_once() -> None:
    cluster = cluster_with_version_1(5)
    cluster.publish(2, first=0, members=range(4))
    cluster.run(60.0)
    early_reads = cluster.versioned(4).file_reads
    assert 15 <= early_reads <= 30
    cluster.run(600.0)
    assert cluster.versioned(4).file_reads - early_reads <= 15
    assert reporters_of(cluster, VersionMissing, 2) == [4]
    # Each member reports once which members are behind.
    assert sorted(reporters_of(cluster, RolloutConcluded, 2)) == list(range(5))
    cluster.files[4] = ConfigurationFile.of(2)
    assert cluster.until_in_force(2, 60.0 * 1.2 + 0.1) is not None


def test_newest_of_skipped_and_quickly_following_versions_comes_in_force() -> None:
    cluster = cluster_with_version_1(12)
    for version in (2, 3, 7, 8):
        cluster.publish(version, first=version % 12)
        cluster.run(0.02)
    assert cluster.until_in_force(8, IN_FORCE_S) is not None
    assert cluster.until_known(IN_FORCE_S) is not None


def test_greater_of_two_versions_published_at_once_is_the_newest() -> None:
    cluster = cluster_with_version_1(12)
    for number in range(6):
        cluster.files[number] = ConfigurationFile.of(2)
    for number in range(6, 12):
        cluster.files[number] = ConfigurationFile.of(3)
    cluster.versioned(0).read()
    cluster.versioned(6).read()
    cluster.run(10.0)
    assert {cluster.versioned(number).rollout.version for number in range(6)} == {2}
    assert cluster.status(0).behind == tuple(range(6))
    for number in range(6):
        cluster.files[number] = ConfigurationFile.of(3)
    assert cluster.until_in_force(3, 6.0) is not None


def test_status_stays_known_while_a_new_round_completes() -> None:
    cluster = cluster_with_version_1(9)
    round_interval_us = cluster.versioned(0).rollout.round_interval_us
    round_numbers = set()
    for _ in range(800):
        cluster.run(0.25)
        status = cluster.status(4)
        assert status.is_in_force_everywhere and status.round_age_us <= 2 * round_interval_us
        round_numbers.add(status.round_number)
    assert len(round_numbers) >= 5


def test_dead_member_is_contacted_rarely() -> None:
    cluster = cluster_with_version_1(6)
    cluster.kill(5)
    cluster.run(60.0)
    receivers: list[int | None] = []
    transmit = cluster.transmit

    def transmit_and_record_receiver(source: Process, datagram: SendDatagram) -> None:
        if is_rollout_message(datagram.payload):
            receivers.append(datagram.receiver)
        transmit(source, datagram)

    cluster.transmit = transmit_and_record_receiver  # type: ignore[method-assign]
    cluster.run(400.0)
    assert 0 < receivers.count(5) < 0.05 * len(receivers)


# Network faults


@pytest.mark.parametrize(
    ("loss", "double", "late"),
    [(0.3, 0.0, 0.0), (0.0, 1.0, 0.0), (0.0, 0.0, 0.5), (0.3, 0.3, 0.3)],
    ids=["lost", "duplicated", "late and out of order", "all faults"],
)
def test_version_spreads_with_faulty_datagrams(loss: float, double: float, late: float) -> None:
    cluster = cluster_with_version_1(20)
    cluster.loss, cluster.duplicate_probability, cluster.late_probability = loss, double, late
    cluster.publish(2, first=3)
    assert cluster.until_in_force(2, IN_FORCE_S) is not None
    assert cluster.until_known(60.0) is not None
    cluster.run(200.0)
    assert all(cluster.status(number).is_in_force_everywhere for number in range(20))


def test_datagrams_delayed_by_minutes_do_not_change_the_status() -> None:
    cluster = cluster_with_version_1(6)
    until = cluster.queue.now + 120 * S
    cluster.held_until = lambda source, target: until if source == 5 else 0
    cluster.run(5.0)
    cluster.held_until = lambda source, target: 0
    cluster.publish(2, first=0)
    assert cluster.until_in_force(2, IN_FORCE_S) is not None
    cluster.run(130.0)
    assert all(cluster.status(number).is_in_force_everywhere for number in range(6))
    assert all(process.rollout.version == 2 for process in cluster.versioned_processes)


def test_partitioned_halves_report_missing_members_and_heal() -> None:
    cluster = cluster_with_version_1(6)
    cluster.is_partitioned = lambda source, target: (source < 3) != (target < 3)
    cluster.publish(2, first=0, members=range(3))
    for number in range(3, 6):
        cluster.files[number] = ConfigurationFile.of(3)
    cluster.versioned(5).read()
    cluster.run(3_600.0)
    for number in range(6):
        status = cluster.status(number)
        assert status.version == cluster.versioned(number).rollout.version == (2 if number < 3 else 3)
        assert status.is_in_force_everywhere is None
        assert status.missing == ((3, 4, 5) if number < 3 else (0, 1, 2))
        # The reports of the reachable half stay recent.
        assert status.round_age_us <= 2 * cluster.versioned(number).rollout.round_interval_us
    cluster.is_partitioned = lambda source, target: False
    for number in range(3):
        cluster.files[number] = ConfigurationFile.of(3)
    assert cluster.until_known(90.0) is not None
    assert cluster.in_force(3)


def test_isolated_member_reports_all_others_missing() -> None:
    cluster = cluster_with_version_1(5)
    cluster.is_partitioned = lambda source, target: 2 in (source, target)
    cluster.run(300.0)
    status = cluster.status(2)
    assert status.is_in_force_everywhere is None and status.missing == (0, 1, 3, 4)
    assert cluster.versioned(2).rollout.version == 1
    assert cluster.status(0).is_in_force_everywhere  # the others declared it dead
    assert (cluster.status(0).in_force_count, cluster.status(0).required_count) == (4, 4)


# Members


def test_paused_member_is_missing_and_applies_the_version_after_resume() -> None:
    cluster = cluster_with_version_1(8)
    cluster.versioned(6).pause()
    cluster.publish(2, first=0)
    cluster.run(5.0)
    assert cluster.status(0).is_in_force_everywhere is None and cluster.status(0).missing == (6,)
    cluster.run(60.0)
    assert cluster.status(0).is_in_force_everywhere  # the paused member was declared dead
    cluster.versioned(6).resume()
    assert cluster.until_in_force(2, IN_FORCE_S) is not None
    assert cluster.until_known(90.0) is not None


def test_member_restarted_with_older_file_is_behind_until_it_gets_the_new_one() -> None:
    cluster = cluster_with_version_1(8)
    cluster.publish(2, first=0)
    assert cluster.until_known(30.0) is not None
    cluster.run(100.0)
    cluster.kill(3)
    cluster.files[3] = ConfigurationFile.of(1)
    cluster.start(3)
    cluster.run(5.0)
    for number in range(8):
        assert cluster.status(number).is_in_force_everywhere is False
        assert cluster.status(number).behind == (3,)
    cluster.files[3] = ConfigurationFile.of(2)
    assert cluster.until_in_force(2, 6.0) is not None
    assert cluster.until_known(60.0) is not None


def test_silent_member_is_missing_within_two_rounds() -> None:
    cluster = cluster_with_version_1(8)
    # Member 3 keeps running, but the others drop its rollout datagrams as those of another cluster.
    cluster.versioned(3).rollout = Rollout(
        3, "elsewhere", MemberTable(8, 0), RolloutSettings(), random.Random(1), 0, 1, 0
    )
    cluster.run(2 * cluster.versioned(0).rollout.round_interval_us / 1e6)
    assert cluster.status(0).is_in_force_everywhere is None and cluster.status(0).missing == (3,)


def test_750_members_started_at_once_apply_a_version() -> None:
    cluster = VersionedCluster(750, is_membership_on=False)
    assert cluster.until_known(IN_FORCE_S) is not None
    cluster.publish(2, first=749)
    assert cluster.until_in_force(2, IN_FORCE_S) is not None
    processes = cluster.versioned_processes
    assert max(process.exchanges for process in processes) <= 64 + 10 * cluster.queue.now / 1e6
    assert max(process.exchange_bytes / process.exchanges for process in processes) <= 256


def test_rolling_upgrade_from_program_without_rollout() -> None:
    cluster = VersionedCluster(8, without_rollout=frozenset({0, 1, 2, 3}))
    cluster.publish(2, first=7)
    cluster.run(60.0)
    status = cluster.status(7)
    assert status.is_in_force_everywhere is None
    assert status.missing == (0, 1, 2, 3) and status.in_force_count == 4
    dropped_by_old_program = cluster.membership_of(0).dropped
    assert dropped_by_old_program[DropReason.OTHER_FORMAT_VERSION] > 0
    assert set(dropped_by_old_program) == {DropReason.OTHER_FORMAT_VERSION}
    assert cluster.is_agreed()  # membership works across both programs
    cluster.without_rollout = frozenset()
    for number in range(4):
        cluster.upgrade(number)
    assert cluster.until_known(60.0) is not None


def test_status_is_complete_when_members_take_several_chunks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("sidecar.cluster.member_set.CHUNK_MEMBERS", 8)
    cluster = VersionedCluster(41, is_membership_on=False)  # six chunks, the last of one member
    assert cluster.until_known(60.0) is not None
    cluster.publish(2, first=40, members=range(40, 41))
    cluster.run(20.0)
    assert cluster.status(0).behind_count == 40
    for number in range(40):
        cluster.files[number] = ConfigurationFile.of(2)
    assert cluster.until_in_force(2, IN_FORCE_S) is not None
    assert cluster.until_known(60.0) is not None
    assert cluster.status(0).in_force_count == cluster.status(40).in_force_count == 41
    sizes = [process.exchange_bytes / process.exchanges for process in cluster.versioned_processes]
    assert max(sizes) < 40  # a header and one byte of each set


def test_single_member_concludes_a_rollout_without_datagrams() -> None:
    cluster = VersionedCluster(1)
    cluster.publish(2, first=0)
    cluster.run(100.0)
    assert cluster.status(0).is_in_force_everywhere and not cluster.versioned(0).exchanges


# Lower, ambiguous and false versions


def test_lower_version_is_rejected() -> None:
    cluster = cluster_with_version_1(4)
    cluster.publish(5, first=0)
    assert cluster.until_known(30.0) is not None
    cluster.files[2] = ConfigurationFile.of(4)
    assert not cluster.versioned(2).read()
    cluster.run(5.0)
    assert cluster.versioned(2).rollout.version == 5 and cluster.status(0).is_in_force_everywhere
    rollout = cluster.versioned(2).rollout
    assert rollout.configuration_applied(cluster.queue.now, 4, 0) == [] and rollout.version == 5


def test_ambiguous_version_is_reported_by_all_until_resolved() -> None:
    cluster = cluster_with_version_1(8)
    cluster.publish(2, first=0)
    assert cluster.until_known(30.0) is not None
    assert not reporters_of(cluster, AmbiguousVersion, 2)
    cluster.files[5] = ConfigurationFile(2, 99)
    assert cluster.versioned(5).read()
    cluster.run(30.0)
    assert sorted(reporters_of(cluster, AmbiguousVersion, 2)) == list(range(8))
    assert (cluster.status(1).min_digest, cluster.status(1).max_digest) == (
        99,
        ConfigurationFile.of(2).digest,
    )
    cluster.files[5] = ConfigurationFile.of(2)
    assert cluster.versioned(5).read()
    cluster.run(120.0)  # time for the next round, in which the digests agree
    assert not cluster.status(1).is_ambiguous


def send_false_round(
    cluster: VersionedCluster, sender: int, version: int, round_number: int = 1, in_force: int = 0
) -> None:
    """Send a round about a version that no file has to all members, with the reports of a set of members."""
    false_round = AggregationRound(
        version, round_number, sender, cluster.queue.now, 1, 1, in_force or member_bit(sender)
    )
    payload = encode(cluster_id(cluster.name), sender, ExchangeKind.PUSH, false_round, 0, cluster.queue.now)
    for process in cluster.versioned_processes:
        if process.number != sender:
            process.receive(sender, payload)


def test_false_greatest_version_costs_bounded_reads_and_is_forgotten() -> None:
    cluster = cluster_with_version_1(10)
    exchanges_before = [process.exchanges for process in cluster.versioned_processes]
    for _ in range(30):
        send_false_round(cluster, 9, MAX_CONFIGURATION_VERSION)
        cluster.run(1.0)
    status = cluster.status(0)
    assert status.version == MAX_CONFIGURATION_VERSION and status.is_in_force_everywhere is False
    assert cluster.versioned(0).rollout.round.first_reported_by == 9
    processes = cluster.versioned_processes
    assert all(process.rollout.version == 1 for process in processes)
    assert max(process.file_reads for process in processes) <= 20
    sent = [process.exchanges - before for process, before in zip(processes, exchanges_before, strict=True)]
    assert max(sent) <= 64 + 300
    cluster.run(200.0)
    assert set(reporters_of(cluster, VersionForgotten, MAX_CONFIGURATION_VERSION)) == set(range(10))
    assert all(cluster.status(number).is_in_force_everywhere for number in range(10))
    cluster.publish(2, first=0)
    assert cluster.until_in_force(2, IN_FORCE_S) is not None


def test_new_file_is_applied_within_a_minute_while_a_false_version_is_the_newest() -> None:
    cluster = cluster_with_version_1(6)
    for second in range(150):
        send_false_round(cluster, 5, MAX_CONFIGURATION_VERSION, round_number=second + 1)
        cluster.run(1.0)
    cluster.publish(2, first=0)
    for second in range(150, 230):
        send_false_round(cluster, 5, MAX_CONFIGURATION_VERSION, round_number=second + 1)
        cluster.run(1.0)
    assert {process.rollout.version for process in cluster.versioned_processes if process.number != 5} == {2}
    assert cluster.status(0).version == MAX_CONFIGURATION_VERSION


def test_ever_greater_false_versions_cost_bounded_datagrams_and_reads() -> None:
    cluster = cluster_with_version_1(10)
    counts_before = [(process.exchanges, process.file_reads) for process in cluster.versioned_processes]
    for count in range(2_000):
        send_false_round(cluster, 9, 1_000 + count)
        cluster.run(0.01)
    for process, (exchanges, file_reads) in zip(cluster.versioned_processes, counts_before, strict=True):
        assert process.exchanges - exchanges <= 64 + 10 * 20 + 16
        assert process.file_reads - file_reads <= 4 * 20 + 1


def test_false_round_with_the_last_number_becomes_obsolete() -> None:
    cluster = cluster_with_version_1(6)
    send_false_round(cluster, 5, 1, round_number=MAX_ROUND_NUMBER, in_force=member_bit(0) | member_bit(1))
    cluster.run(4 * cluster.versioned(0).rollout.round_interval_us / 1e6 + 30.0)
    assert cluster.versioned(0).rollout.round.number < MAX_ROUND_NUMBER
    assert all(cluster.status(number).is_in_force_everywhere for number in range(6))


def test_obsolete_round_is_dropped() -> None:
    cluster = cluster_with_version_1(3)
    rollout = cluster.versioned(0).rollout
    now = cluster.queue.now
    obsolete = AggregationRound(9, 1, 2, now - 3 * rollout.round_interval_us - S, 1, 1, member_bit(2))
    payload = encode(cluster_id(cluster.name), 2, ExchangeKind.PUSH_PULL, obsolete, 0, now)
    rollout.datagram_received(now, 2, payload)
    assert rollout.round.version == 1 and rollout.dropped[DropReason.TOO_OLD] == 1


def test_listed_members_are_bounded_and_the_rest_counted() -> None:
    cluster = VersionedCluster(60, is_membership_on=False)
    cluster.publish(2, first=0, members=range(1))
    cluster.run(5.0)
    status = cluster.status(0)
    assert len(status.behind) == MAX_LISTED_MEMBERS and status.behind_count == 59


# Rate of datagrams, and order of actions


def test_datagrams_at_rest_do_not_grow_with_cluster_size() -> None:
    rates = {}
    for size in (8, 32, 96):
        cluster = cluster_with_version_1(size, is_membership_on=False)
        sent_before = sum(process.exchanges for process in cluster.versioned_processes)
        cluster.run(200.0)
        sent = sum(process.exchanges for process in cluster.versioned_processes) - sent_before
        rates[size] = sent / size / 200
    assert max(rates.values()) <= 1.0
    assert rates[96] <= 1.5 * rates[8]


def test_tick_is_scheduled_before_the_file_is_read() -> None:
    cluster = cluster_with_version_1(3, rollout=RolloutSettings(file_read_spread_s=0.0))
    rollout = cluster.versioned(0).rollout
    now = cluster.queue.now
    newer = AggregationRound(9, 1, 2, now, 1, 1, member_bit(2))
    payload = encode(cluster_id(cluster.name), 2, ExchangeKind.PUSH, newer, 0, now)
    actions = rollout.datagram_received(now, 2, payload)
    assert isinstance(actions[-1], ReadConfiguration)
    assert {action.receiver for action in actions if isinstance(action, SendDatagram)} <= {1}


@pytest.fixture(autouse=True)
def no_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fail if a test reads the machine's clock."""

    def forbidden() -> float:
        raise AssertionError("time.time() was called in a test that runs in virtual time")

    monkeypatch.setattr(time, "time", forbidden)


def test_every_member_of_versioned_cluster_runs_the_rollout() -> None:
    assert all(isinstance(process, VersionedProcess) for process in VersionedCluster(3).versioned_processes)
