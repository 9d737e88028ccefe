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


def said(cluster: VersionedCluster, what: type, version: int) -> list[int]:
    """Who said so of a version."""
    return [
        by
        for _, by, each in cluster.rollout_reports
        if isinstance(each, what)
        and (each.status.version if isinstance(each, RolloutConcluded) else each.version) == version
    ]


# One told, all follow


def test_one_is_told_and_all_have_it_and_know_that_all_have_it() -> None:
    cluster = at_rest(30)
    cluster.publish(2, first=4)
    assert cluster.until_in_force(2, IN_FORCE_S) is not None
    assert cluster.until_known(IN_FORCE_S) is not None
    cluster.run(1.0)
    assert sorted(said(cluster, RolloutConcluded, 2)) == list(range(30))  # one line each
    found = cluster.status(7)
    assert (found.version, found.in_force_count, found.required_count) == (2, 30, 30)
    assert found.behind == found.missing == ()


def test_in_force_everywhere_is_answered_by_members_and_not_by_who_was_asked() -> None:
    cluster = at_rest(10)
    cluster.publish(2, first=0, members=range(9))  # the file of member 9 never came
    cluster.run(30.0)
    for number in range(10):
        assert cluster.status(number).is_in_force_everywhere is False
        assert cluster.status(number).behind == (9,)
    assert cluster.versioned(9).rollout.version == 1


def test_a_version_that_waits_for_a_restart_somewhere_is_not_in_force_everywhere() -> None:
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


def test_a_file_that_comes_later_is_found_without_a_signal() -> None:
    cluster = at_rest(10)
    cluster.publish(2, first=0, members=range(9))
    cluster.run(20.0)
    cluster.files[9] = File.of(2)
    assert cluster.until_in_force(2, 4.0 * 1.2 + 0.1) is not None
    assert cluster.until_known(60.0) is not None


def test_a_file_that_never_comes_is_looked_for_in_bounded_steps_and_said_once() -> None:
    cluster = at_rest(5)
    cluster.publish(2, first=0, members=range(4))
    cluster.run(60.0)
    first = cluster.versioned(4).file_reads
    assert 15 <= first <= 30
    cluster.run(600.0)
    assert cluster.versioned(4).file_reads - first <= 15
    assert said(cluster, VersionMissing, 2) == [4]
    assert sorted(said(cluster, RolloutConcluded, 2)) == list(range(5))  # each says once who is behind
    cluster.files[4] = File.of(2)
    assert cluster.until_in_force(2, 60.0 * 1.2 + 0.1) is not None


def test_versions_may_be_skipped_and_come_quickly_after_each_other() -> None:
    cluster = at_rest(12)
    for version in (2, 3, 7, 8):
        cluster.publish(version, first=version % 12)
        cluster.run(0.02)
    assert cluster.until_in_force(8, IN_FORCE_S) is not None
    assert cluster.until_known(IN_FORCE_S) is not None


def test_two_different_versions_at_once_end_in_the_greater() -> None:
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


def test_while_a_wave_fills_the_answer_is_that_of_the_wave_before_and_says_how_old_it_is() -> None:
    cluster = at_rest(9)
    wave_us = cluster.versioned(0).rollout.round_interval_us
    waves = set()
    for _ in range(800):
        cluster.run(0.25)
        found = cluster.status(4)
        assert found.is_in_force_everywhere and found.round_age_us <= 2 * wave_us
        waves.add(found.round_number)
    assert len(waves) >= 5


def test_a_dead_member_is_tried_only_now_and_then() -> None:
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
def test_in_force_and_known_with_datagrams(loss: float, double: float, late: float) -> None:
    cluster = at_rest(20)
    cluster.loss, cluster.double, cluster.late = loss, double, late
    cluster.publish(2, first=3)
    assert cluster.until_in_force(2, IN_FORCE_S) is not None
    assert cluster.until_known(60.0) is not None
    cluster.run(200.0)
    assert all(cluster.status(number).is_in_force_everywhere for number in range(20))


def test_a_datagram_held_for_two_minutes_changes_nothing() -> None:
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


def test_two_halves_that_differ_for_an_hour_and_heal() -> None:
    cluster = at_rest(6)
    cluster.is_cut = lambda source, target: (source < 3) != (target < 3)
    cluster.publish(2, first=0, members=range(3))
    for number in range(3, 6):
        cluster.files[number] = File.of(3)
    cluster.versioned(5).read()
    cluster.run(3_600.0)
    for number in range(6):
        found = cluster.status(number)
        assert found.version == cluster.versioned(number).rollout.version == (2 if number < 3 else 3)
        assert found.is_in_force_everywhere is None  # whose word is lacking is said
        assert found.missing == ((3, 4, 5) if number < 3 else (0, 1, 2))
        assert (
            found.round_age_us <= 2 * cluster.versioned(number).rollout.round_interval_us
        )  # half of the cluster, and fresh
    cluster.is_cut = lambda source, target: False
    for number in range(3):
        cluster.files[number] = File.of(3)
    assert cluster.until_known(90.0) is not None
    assert cluster.in_force(3)


def test_alone_it_serves_on_and_says_whose_word_is_lacking() -> None:
    cluster = at_rest(5)
    cluster.is_cut = lambda source, target: 2 in (source, target)
    cluster.run(300.0)
    found = cluster.status(2)
    assert found.is_in_force_everywhere is None and found.missing == (0, 1, 3, 4)
    assert cluster.versioned(2).rollout.version == 1
    assert cluster.status(0).is_in_force_everywhere  # the others found it dead and go on without it
    assert (cluster.status(0).in_force_count, cluster.status(0).required_count) == (4, 4)


# Members


def test_a_paused_copy_is_unheard_or_left_out_and_follows_when_it_goes_on() -> None:
    cluster = at_rest(8)
    cluster.versioned(6).pause()
    cluster.publish(2, first=0)
    cluster.run(5.0)
    assert cluster.status(0).is_in_force_everywhere is None and cluster.status(0).missing == (6,)
    cluster.run(60.0)
    assert cluster.status(0).is_in_force_everywhere  # it was found dead
    cluster.versioned(6).resume()
    assert cluster.until_in_force(2, IN_FORCE_S) is not None
    assert cluster.until_known(90.0) is not None


def test_a_copy_back_with_an_older_file_is_behind_at_once_and_follows_when_its_file_does() -> None:
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


def test_a_member_that_falls_silent_falls_out_of_the_tally_within_two_waves() -> None:
    cluster = at_rest(8)
    cluster.versioned(3).rollout = Rollout(
        3, "elsewhere", MemberTable(8, 0), RolloutSettings(), random.Random(1), 0, 1, 0
    )  # its process lives and says nothing that the others take
    cluster.run(2 * cluster.versioned(0).rollout.round_interval_us / 1e6)
    assert cluster.status(0).is_in_force_everywhere is None and cluster.status(0).missing == (3,)


def test_seven_hundred_and_fifty_started_at_once_know_it_and_follow() -> None:
    cluster = VersionedCluster(750, is_membership_on=False)
    assert cluster.until_known(IN_FORCE_S) is not None
    cluster.publish(2, first=749)
    assert cluster.until_in_force(2, IN_FORCE_S) is not None
    assert max(each.exchanges for each in cluster.everyone) <= 64 + 10 * cluster.queue.now / 1e6
    assert max(each.exchange_bytes / each.exchanges for each in cluster.everyone) <= 256


def test_a_rolling_upgrade_with_members_of_the_version_before_that_never_answer() -> None:
    cluster = VersionedCluster(8, without_rollout=frozenset({0, 1, 2, 3}))
    cluster.publish(2, first=7)
    cluster.run(60.0)
    found = cluster.status(7)
    assert (
        found.is_in_force_everywhere is None and found.missing == (0, 1, 2, 3) and found.in_force_count == 4
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


def test_more_members_than_one_datagram_holds(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_a_tier_of_one_answers_for_itself() -> None:
    cluster = VersionedCluster(1)
    cluster.publish(2, first=0)
    cluster.run(100.0)
    assert cluster.status(0).is_in_force_everywhere and not cluster.versioned(0).exchanges


# Files


def test_a_lower_version_is_refused_and_what_is_in_force_stays() -> None:
    cluster = at_rest(4)
    cluster.publish(5, first=0)
    assert cluster.until_known(30.0) is not None
    cluster.files[2] = File.of(4)
    assert not cluster.versioned(2).read()
    cluster.run(5.0)
    assert cluster.versioned(2).rollout.version == 5 and cluster.status(0).is_in_force_everywhere
    rollout = cluster.versioned(2).rollout
    assert rollout.configuration_applied(cluster.queue.now, 4, 0) == [] and rollout.version == 5


def test_one_version_with_two_contents_is_named_by_all() -> None:
    cluster = at_rest(8)
    cluster.publish(2, first=0)
    assert cluster.until_known(30.0) is not None
    assert not said(cluster, AmbiguousVersion, 2)
    cluster.files[5] = File(2, 99)
    assert cluster.versioned(5).read()
    cluster.run(30.0)
    assert sorted(said(cluster, AmbiguousVersion, 2)) == list(range(8))
    assert (cluster.status(1).min_digest, cluster.status(1).max_digest) == (99, File.of(2).digest)
    cluster.files[5] = File.of(2)
    assert cluster.versioned(5).read()
    cluster.run(120.0)  # by the next wave it is over
    assert not cluster.status(1).is_ambiguous


def lie(cluster: VersionedCluster, sender: int, version: int, wave: int = 1, has: int = 0) -> None:
    tally = AggregationRound(version, wave, sender, cluster.queue.now, 1, 1, has or member_bit(sender))
    payload = encode(cluster_id(cluster.name), sender, ExchangeKind.PUSH, tally, 0, cluster.queue.now)
    for each in cluster.everyone:
        if each.number != sender:
            each.hear(sender, payload)


def test_a_lie_of_a_huge_version_costs_a_bounded_number_of_looks_and_is_forgotten() -> None:
    cluster = at_rest(10)
    sent = [each.exchanges for each in cluster.everyone]
    for _ in range(30):
        lie(cluster, 9, MAX_CONFIGURATION_VERSION)
        cluster.run(1.0)
    found = cluster.status(0)
    assert found.version == MAX_CONFIGURATION_VERSION and found.is_in_force_everywhere is False
    assert cluster.versioned(0).rollout.round.first_reported_by == 9
    assert all(each.rollout.version == 1 for each in cluster.everyone)
    assert max(each.file_reads for each in cluster.everyone) <= 20
    assert max(each.exchanges - old for each, old in zip(cluster.everyone, sent, strict=True)) <= 64 + 300
    cluster.run(200.0)
    assert set(said(cluster, VersionForgotten, MAX_CONFIGURATION_VERSION)) == set(range(10))
    assert all(cluster.status(number).is_in_force_everywhere for number in range(10))
    cluster.publish(2, first=0)
    assert cluster.until_in_force(2, IN_FORCE_S) is not None


def test_while_a_lie_stands_a_file_is_found_within_a_minute_although_nobody_tells_of_it() -> None:
    cluster = at_rest(6)
    for second in range(150):
        lie(cluster, 5, MAX_CONFIGURATION_VERSION, wave=second + 1)
        cluster.run(1.0)
    cluster.publish(2, first=0)
    for second in range(150, 230):
        lie(cluster, 5, MAX_CONFIGURATION_VERSION, wave=second + 1)
        cluster.run(1.0)
    assert {each.rollout.version for each in cluster.everyone if each.number != 5} == {2}
    assert cluster.status(0).version == MAX_CONFIGURATION_VERSION


def test_a_liar_that_names_ever_higher_versions_gets_a_bounded_number_of_answers() -> None:
    cluster = at_rest(10)
    began = [(each.exchanges, each.file_reads) for each in cluster.everyone]
    for count in range(2_000):
        lie(cluster, 9, 1_000 + count)
        cluster.run(0.01)
    for each, (exchanges, looks) in zip(cluster.everyone, began, strict=True):
        assert each.exchanges - exchanges <= 64 + 10 * 20 + 16
        assert each.file_reads - looks <= 4 * 20 + 1


def test_a_lie_of_the_last_wave_is_over_after_some_waves() -> None:
    cluster = at_rest(6)
    lie(cluster, 5, 1, wave=MAX_ROUND_NUMBER, has=member_bit(0) | member_bit(1))
    cluster.run(4 * cluster.versioned(0).rollout.round_interval_us / 1e6 + 30.0)
    assert cluster.versioned(0).rollout.round.number < MAX_ROUND_NUMBER
    assert all(cluster.status(number).is_in_force_everywhere for number in range(6))


def test_an_old_tally_is_not_taken() -> None:
    cluster = at_rest(3)
    rollout = cluster.versioned(0).rollout
    now = cluster.queue.now
    old = AggregationRound(9, 1, 2, now - 3 * rollout.round_interval_us - S, 1, 1, member_bit(2))
    rollout.datagram_received(
        now, 2, encode(cluster_id(cluster.name), 2, ExchangeKind.PUSH_PULL, old, 0, now)
    )
    assert rollout.round.version == 1 and rollout.dropped[DropReason.TOO_OLD] == 1


def test_names_in_an_answer_are_bounded_and_the_rest_is_counted() -> None:
    cluster = VersionedCluster(60, is_membership_on=False)
    cluster.publish(2, first=0, members=range(1))
    cluster.run(5.0)
    found = cluster.status(0)
    assert len(found.behind) == MAX_LISTED_MEMBERS and found.behind_count == 59


# Costs


def test_at_rest_datagrams_do_not_grow_with_the_tier() -> None:
    rates = {}
    for size in (8, 32, 96):
        cluster = at_rest(size, is_membership_on=False)
        sent = sum(each.exchanges for each in cluster.everyone)
        cluster.run(200.0)
        rates[size] = (sum(each.exchanges for each in cluster.everyone) - sent) / size / 200
    assert max(rates.values()) <= 1.0
    assert rates[96] <= 1.5 * rates[8]


def test_the_wake_goes_before_the_look_and_both_come_of_one_event() -> None:
    cluster = at_rest(3, rollout=RolloutSettings(spread_s=0.0))
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


def test_every_member_is_one_that_compares_versions() -> None:
    assert all(isinstance(each, VersionedProcess) for each in VersionedCluster(3).everyone)
