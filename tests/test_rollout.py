"""Versions of the configuration in virtual time: each hard case by name, on the sidecar's own lines."""

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
from testbed.cluster_simulation.versions import File, VersionedCluster, VersionedProcess
from testbed.cluster_simulation.virtual import Process

IN_FORCE_S = 6.0  # the bound with its margin of two
S = 1_000_000


def at_rest(size: int, **how: object) -> VersionedCluster:
    """A cluster in which version 1 is in force everywhere, and everybody knows it."""
    cluster = VersionedCluster(size, **how)  # type: ignore[arg-type]
    assert cluster.until_known(60.0) is not None
    cluster.run(20.0)
    cluster.rollout_reports.clear()
    return cluster


def reporters_of(cluster: VersionedCluster, what: type, version: int) -> list[int]:
    """Who said so of a version."""
    return [
        by
        for _, by, each in cluster.rollout_reports
        if isinstance(each, what)
        and (each.status.version if isinstance(each, RolloutConcluded) else each.version) == version
    ]


# One told, all follow


def test_published_version_spreads_and_all_know_that_all_have_it() -> None:
    cluster = at_rest(30)
    cluster.publish(2, first=4)
    assert cluster.until_in_force(2, IN_FORCE_S) is not None
    assert cluster.until_known(IN_FORCE_S) is not None
    cluster.run(1.0)
    assert sorted(reporters_of(cluster, RolloutConcluded, 2)) == list(range(30))  # one line each
    status = cluster.status(7)
    assert (status.version, status.in_force_count, status.required_count) == (2, 30, 30)
    assert status.behind == status.missing == ()


def test_status_names_member_without_the_file_as_behind() -> None:
    cluster = at_rest(10)
    cluster.publish(2, first=0, members=range(9))  # the file of member 9 never came
    cluster.run(30.0)
    for number in range(10):
        assert cluster.status(number).is_in_force_everywhere is False
        assert cluster.status(number).behind == (9,)
    assert cluster.versioned(9).rollout.version == 1


def test_member_pending_a_restart_is_behind() -> None:
    cluster = at_rest(10)
    waiting = cluster.versioned(9)
    waiting.carry_out_rollout(
        waiting.rollout.configuration_pending(cluster.queue.now, 2)
    )  # something in its file can't be taken over
    cluster.publish(2, first=0, members=range(9))
    cluster.run(30.0)
    for number in range(10):
        assert cluster.status(number).is_in_force_everywhere is False and cluster.status(number).behind == (
            9,
        )
    assert waiting.rollout.version == 1


def test_late_file_is_found_without_signal() -> None:
    cluster = at_rest(10)
    cluster.publish(2, first=0, members=range(9))
    cluster.run(20.0)
    cluster.files[9] = File.of(2)
    assert cluster.until_in_force(2, 4.0 * 1.2 + 0.1) is not None
    assert cluster.until_known(60.0) is not None


def test_missing_file_is_read_at_bounded_rate_and_reported_once() -> None:
    cluster = at_rest(5)
    cluster.publish(2, first=0, members=range(4))
    cluster.run(60.0)
    first = cluster.versioned(4).file_reads
    assert 15 <= first <= 30
    cluster.run(600.0)
    assert cluster.versioned(4).file_reads - first <= 15
    assert reporters_of(cluster, VersionMissing, 2) == [4]
    assert sorted(reporters_of(cluster, RolloutConcluded, 2)) == list(
        range(5)
    )  # each says once who is behind
    cluster.files[4] = File.of(2)
    assert cluster.until_in_force(2, 60.0 * 1.2 + 0.1) is not None


def test_skipped_and_quickly_following_versions_end_in_the_newest() -> None:
    cluster = at_rest(12)
    for version in (2, 3, 7, 8):
        cluster.publish(version, first=version % 12)
        cluster.run(0.02)
    assert cluster.until_in_force(8, IN_FORCE_S) is not None
    assert cluster.until_known(IN_FORCE_S) is not None


def test_two_versions_at_once_end_in_the_greater() -> None:
    cluster = at_rest(12)
    for number in range(6):
        cluster.files[number] = File.of(2)
    for number in range(6, 12):
        cluster.files[number] = File.of(3)
    cluster.versioned(0).read()
    cluster.versioned(6).read()
    cluster.run(10.0)
    assert {cluster.versioned(number).rollout.version for number in range(6)} == {2}
    assert cluster.status(0).behind == tuple(range(6))
    for number in range(6):
        cluster.files[number] = File.of(3)
    assert cluster.until_in_force(3, 6.0) is not None


def test_status_stays_known_while_a_round_fills() -> None:
    cluster = at_rest(9)
    wave_us = cluster.versioned(0).rollout.round_interval_us
    waves = set()
    for _ in range(800):
        cluster.run(0.25)
        status = cluster.status(4)
        assert status.is_in_force_everywhere and status.round_age_us <= 2 * wave_us
        waves.add(status.round_number)
    assert len(waves) >= 5


def test_dead_member_is_contacted_rarely() -> None:
    cluster = at_rest(6)
    cluster.kill(5)
    cluster.run(60.0)
    receivers: list[int | None] = []
    carry = cluster.carry

    def noted(source: Process, datagram: SendDatagram) -> None:
        if is_rollout_message(datagram.payload):
            receivers.append(datagram.receiver)
        carry(source, datagram)

    cluster.carry = noted  # type: ignore[method-assign]
    cluster.run(400.0)
    assert 0 < receivers.count(5) < 0.05 * len(receivers)


# Networks


@pytest.mark.parametrize(
    ("loss", "double", "late"),
    [(0.3, 0.0, 0.0), (0.0, 1.0, 0.0), (0.0, 0.0, 0.5), (0.3, 0.3, 0.3)],
    ids=["lost", "doubled", "late and out of order", "all of it"],
)
def test_version_spreads_with_faulty_datagrams(loss: float, double: float, late: float) -> None:
    cluster = at_rest(20)
    cluster.loss, cluster.double, cluster.late = loss, double, late
    cluster.publish(2, first=3)
    assert cluster.until_in_force(2, IN_FORCE_S) is not None
    assert cluster.until_known(60.0) is not None
    cluster.run(200.0)
    assert all(cluster.status(number).is_in_force_everywhere for number in range(20))


def test_datagrams_delayed_by_minutes_change_nothing() -> None:
    cluster = at_rest(6)
    until = cluster.queue.now + 120 * S
    cluster.held_until = lambda source, target: until if source == 5 else 0
    cluster.run(5.0)
    cluster.held_until = lambda source, target: 0
    cluster.publish(2, first=0)
    assert cluster.until_in_force(2, IN_FORCE_S) is not None
    cluster.run(130.0)
    assert all(cluster.status(number).is_in_force_everywhere for number in range(6))
    assert all(each.rollout.version == 2 for each in cluster.everyone)


def test_partitioned_halves_report_missing_members_and_heal() -> None:
    cluster = at_rest(6)
    cluster.is_cut = lambda source, target: (source < 3) != (target < 3)
    cluster.publish(2, first=0, members=range(3))
    for number in range(3, 6):
        cluster.files[number] = File.of(3)
    cluster.versioned(5).read()
    cluster.run(3_600.0)
    for number in range(6):
        status = cluster.status(number)
        assert status.version == cluster.versioned(number).rollout.version == (2 if number < 3 else 3)
        assert status.is_in_force_everywhere is None  # whose word is lacking is said
        assert status.missing == ((3, 4, 5) if number < 3 else (0, 1, 2))
        assert (
            status.round_age_us <= 2 * cluster.versioned(number).rollout.round_interval_us
        )  # half of the cluster, and fresh
    cluster.is_cut = lambda source, target: False
    for number in range(3):
        cluster.files[number] = File.of(3)
    assert cluster.until_known(90.0) is not None
    assert cluster.in_force(3)


def test_isolated_member_reports_all_others_missing() -> None:
    cluster = at_rest(5)
    cluster.is_cut = lambda source, target: 2 in (source, target)
    cluster.run(300.0)
    status = cluster.status(2)
    assert status.is_in_force_everywhere is None and status.missing == (0, 1, 3, 4)
    assert cluster.versioned(2).rollout.version == 1
    assert cluster.status(0).is_in_force_everywhere  # the others status it dead and go on without it
    assert (cluster.status(0).in_force_count, cluster.status(0).required_count) == (4, 4)


# Members


def test_paused_member_is_missing_and_follows_after_resume() -> None:
    cluster = at_rest(8)
    cluster.versioned(6).pause()
    cluster.publish(2, first=0)
    cluster.run(5.0)
    assert cluster.status(0).is_in_force_everywhere is None and cluster.status(0).missing == (6,)
    cluster.run(60.0)
    assert cluster.status(0).is_in_force_everywhere  # it was status dead
    cluster.versioned(6).resume()
    assert cluster.until_in_force(2, IN_FORCE_S) is not None
    assert cluster.until_known(90.0) is not None


def test_member_restarted_with_older_file_is_behind_until_its_file_follows() -> None:
    cluster = at_rest(8)
    cluster.publish(2, first=0)
    assert cluster.until_known(30.0) is not None
    cluster.run(100.0)
    cluster.kill(3)
    cluster.files[3] = File.of(1)
    cluster.start(3)
    cluster.run(5.0)
    for number in range(8):
        assert cluster.status(number).is_in_force_everywhere is False and cluster.status(number).behind == (
            3,
        )
    cluster.files[3] = File.of(2)
    assert cluster.until_in_force(2, 6.0) is not None
    assert cluster.until_known(60.0) is not None


def test_silent_member_is_missing_within_two_rounds() -> None:
    cluster = at_rest(8)
    cluster.versioned(3).rollout = Rollout(
        3, "elsewhere", MemberTable(8, 0), RolloutSettings(), random.Random(1), 0, 1, 0
    )  # its process lives and says nothing that the others take
    cluster.run(2 * cluster.versioned(0).rollout.round_interval_us / 1e6)
    assert cluster.status(0).is_in_force_everywhere is None and cluster.status(0).missing == (3,)


def test_750_members_started_at_once_follow_a_version() -> None:
    cluster = VersionedCluster(750, is_membership_on=False)
    assert cluster.until_known(IN_FORCE_S) is not None
    cluster.publish(2, first=749)
    assert cluster.until_in_force(2, IN_FORCE_S) is not None
    assert max(each.exchanges for each in cluster.everyone) <= 64 + 10 * cluster.queue.now / 1e6
    assert max(each.exchange_bytes / each.exchanges for each in cluster.everyone) <= 256


def test_rolling_upgrade_from_program_without_rollout() -> None:
    cluster = VersionedCluster(8, without_rollout=frozenset({0, 1, 2, 3}))
    cluster.publish(2, first=7)
    cluster.run(60.0)
    status = cluster.status(7)
    assert (
        status.is_in_force_everywhere is None
        and status.missing == (0, 1, 2, 3)
        and status.in_force_count == 4
    )
    old = cluster.of(0)
    assert old.dropped[DropReason.OTHER_FORMAT_VERSION] > 0 and set(old.dropped) == {
        DropReason.OTHER_FORMAT_VERSION
    }
    assert cluster.is_agreed()  # membership goes on as it did
    cluster.without_rollout = frozenset()
    for number in range(4):
        cluster.upgrade(number)
    assert cluster.until_known(60.0) is not None


def test_sets_of_members_in_several_chunks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("sidecar.cluster.member_set.CHUNK_MEMBERS", 8)
    cluster = VersionedCluster(41, is_membership_on=False)  # six pieces, the last of one member
    assert cluster.until_known(60.0) is not None
    cluster.publish(2, first=40, members=range(40, 41))
    cluster.run(20.0)
    assert cluster.status(0).behind_count == 40
    for number in range(40):
        cluster.files[number] = File.of(2)
    assert cluster.until_in_force(2, IN_FORCE_S) is not None
    assert cluster.until_known(60.0) is not None
    assert cluster.status(0).in_force_count == cluster.status(40).in_force_count == 41
    sizes = [each.exchange_bytes / each.exchanges for each in cluster.everyone]
    assert max(sizes) < 40  # a head and one byte of each set


def test_single_member_concludes_without_datagrams() -> None:
    cluster = VersionedCluster(1)
    cluster.publish(2, first=0)
    cluster.run(100.0)
    assert cluster.status(0).is_in_force_everywhere and not cluster.versioned(0).exchanges


# Files


def test_lower_version_is_rejected() -> None:
    cluster = at_rest(4)
    cluster.publish(5, first=0)
    assert cluster.until_known(30.0) is not None
    cluster.files[2] = File.of(4)
    assert not cluster.versioned(2).read()
    cluster.run(5.0)
    assert cluster.versioned(2).rollout.version == 5 and cluster.status(0).is_in_force_everywhere
    rollout = cluster.versioned(2).rollout
    assert rollout.configuration_applied(cluster.queue.now, 4, 0) == [] and rollout.version == 5


def test_ambiguous_version_is_reported_by_all_until_resolved() -> None:
    cluster = at_rest(8)
    cluster.publish(2, first=0)
    assert cluster.until_known(30.0) is not None
    assert not reporters_of(cluster, AmbiguousVersion, 2)
    cluster.files[5] = File(2, 99)
    assert cluster.versioned(5).read()
    cluster.run(30.0)
    assert sorted(reporters_of(cluster, AmbiguousVersion, 2)) == list(range(8))
    assert (cluster.status(1).min_digest, cluster.status(1).max_digest) == (99, File.of(2).digest)
    cluster.files[5] = File.of(2)
    assert cluster.versioned(5).read()
    cluster.run(120.0)  # by the next wave it is over
    assert not cluster.status(1).is_ambiguous


def send_false_round(
    cluster: VersionedCluster, sender: int, version: int, wave: int = 1, has: int = 0
) -> None:
    tally = AggregationRound(version, wave, sender, cluster.queue.now, 1, 1, has or member_bit(sender))
    payload = encode(cluster_id(cluster.name), sender, ExchangeKind.PUSH, tally, 0, cluster.queue.now)
    for each in cluster.everyone:
        if each.number != sender:
            each.hear(sender, payload)


def test_false_greatest_version_costs_bounded_reads_and_is_forgotten() -> None:
    cluster = at_rest(10)
    sent = [each.exchanges for each in cluster.everyone]
    for _ in range(30):
        send_false_round(cluster, 9, MAX_CONFIGURATION_VERSION)
        cluster.run(1.0)
    status = cluster.status(0)
    assert status.version == MAX_CONFIGURATION_VERSION and status.is_in_force_everywhere is False
    assert cluster.versioned(0).rollout.round.first_reported_by == 9
    assert all(each.rollout.version == 1 for each in cluster.everyone)
    assert max(each.file_reads for each in cluster.everyone) <= 20
    assert max(each.exchanges - old for each, old in zip(cluster.everyone, sent, strict=True)) <= 64 + 300
    cluster.run(200.0)
    assert set(reporters_of(cluster, VersionForgotten, MAX_CONFIGURATION_VERSION)) == set(range(10))
    assert all(cluster.status(number).is_in_force_everywhere for number in range(10))
    cluster.publish(2, first=0)
    assert cluster.until_in_force(2, IN_FORCE_S) is not None


def test_file_is_found_within_a_minute_while_a_false_version_stands() -> None:
    cluster = at_rest(6)
    for second in range(150):
        send_false_round(cluster, 5, MAX_CONFIGURATION_VERSION, wave=second + 1)
        cluster.run(1.0)
    cluster.publish(2, first=0)
    for second in range(150, 230):
        send_false_round(cluster, 5, MAX_CONFIGURATION_VERSION, wave=second + 1)
        cluster.run(1.0)
    assert {each.rollout.version for each in cluster.everyone if each.number != 5} == {2}
    assert cluster.status(0).version == MAX_CONFIGURATION_VERSION


def test_ever_greater_false_versions_cost_bounded_datagrams_and_reads() -> None:
    cluster = at_rest(10)
    began = [(each.exchanges, each.file_reads) for each in cluster.everyone]
    for count in range(2_000):
        send_false_round(cluster, 9, 1_000 + count)
        cluster.run(0.01)
    for each, (exchanges, looks) in zip(cluster.everyone, began, strict=True):
        assert each.exchanges - exchanges <= 64 + 10 * 20 + 16
        assert each.file_reads - looks <= 4 * 20 + 1


def test_false_last_round_is_over_after_some_rounds() -> None:
    cluster = at_rest(6)
    send_false_round(cluster, 5, 1, wave=MAX_ROUND_NUMBER, has=member_bit(0) | member_bit(1))
    cluster.run(4 * cluster.versioned(0).rollout.round_interval_us / 1e6 + 30.0)
    assert cluster.versioned(0).rollout.round.number < MAX_ROUND_NUMBER
    assert all(cluster.status(number).is_in_force_everywhere for number in range(6))


def test_obsolete_round_is_dropped() -> None:
    cluster = at_rest(3)
    rollout = cluster.versioned(0).rollout
    now = cluster.queue.now
    old = AggregationRound(9, 1, 2, now - 3 * rollout.round_interval_us - S, 1, 1, member_bit(2))
    rollout.datagram_received(
        now, 2, encode(cluster_id(cluster.name), 2, ExchangeKind.PUSH_PULL, old, 0, now)
    )
    assert rollout.round.version == 1 and rollout.dropped[DropReason.TOO_OLD] == 1


def test_listed_members_are_bounded_and_the_rest_counted() -> None:
    cluster = VersionedCluster(60, is_membership_on=False)
    cluster.publish(2, first=0, members=range(1))
    cluster.run(5.0)
    status = cluster.status(0)
    assert len(status.behind) == MAX_LISTED_MEMBERS and status.behind_count == 59


# Costs


def test_datagrams_at_rest_do_not_grow_with_cluster_size() -> None:
    rates = {}
    for size in (8, 32, 96):
        cluster = at_rest(size, is_membership_on=False)
        sent = sum(each.exchanges for each in cluster.everyone)
        cluster.run(200.0)
        rates[size] = (sum(each.exchanges for each in cluster.everyone) - sent) / size / 200
    assert max(rates.values()) <= 1.0
    assert rates[96] <= 1.5 * rates[8]


def test_tick_is_scheduled_before_the_file_is_read() -> None:
    cluster = at_rest(3, rollout=RolloutSettings(file_read_spread_s=0.0))
    rollout = cluster.versioned(0).rollout
    now = cluster.queue.now
    news = AggregationRound(9, 1, 2, now, 1, 1, member_bit(2))
    out = rollout.datagram_received(
        now, 2, encode(cluster_id(cluster.name), 2, ExchangeKind.PUSH, news, 0, now)
    )
    assert isinstance(out[-1], ReadConfiguration)
    assert {each.receiver for each in out if isinstance(each, SendDatagram)} <= {1}


@pytest.fixture(autouse=True)
def no_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing here may look at the machine's clock."""

    def forbidden() -> float:
        raise AssertionError("the clock was read")

    monkeypatch.setattr(time, "time", forbidden)


def test_every_member_of_versioned_cluster_compares_versions() -> None:
    assert all(isinstance(each, VersionedProcess) for each in VersionedCluster(3).everyone)
