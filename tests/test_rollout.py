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
from testbed.cluster_simulation.versions import File, Versioned, VersionedTier
from testbed.cluster_simulation.virtual import Process

IN_FORCE_S = 6.0  # the bound with its margin of two
S = 1_000_000


def at_rest(size: int, **how: object) -> VersionedTier:
    """A tier in which version 1 is in force everywhere, and everybody knows it."""
    tier = VersionedTier(size, **how)  # type: ignore[arg-type]
    assert tier.until_known(60.0) is not None
    tier.run(20.0)
    tier.said.clear()
    return tier


def said(tier: VersionedTier, what: type, version: int) -> list[int]:
    """Who said so of a version."""
    return [
        by
        for _, by, each in tier.said
        if isinstance(each, what)
        and (each.status.version if isinstance(each, RolloutConcluded) else each.version) == version
    ]


# One told, all follow


def test_one_is_told_and_all_have_it_and_know_that_all_have_it() -> None:
    tier = at_rest(30)
    tier.publish(2, first=4)
    assert tier.until_in_force(2, IN_FORCE_S) is not None
    assert tier.until_known(IN_FORCE_S) is not None
    tier.run(1.0)
    assert sorted(said(tier, RolloutConcluded, 2)) == list(range(30))  # one line each
    found = tier.status(7)
    assert (found.version, found.in_force_count, found.required_count) == (2, 30, 30)
    assert found.behind == found.missing == ()


def test_in_force_everywhere_is_answered_by_members_and_not_by_who_was_asked() -> None:
    tier = at_rest(10)
    tier.publish(2, first=0, members=range(9))  # the file of member 9 never came
    tier.run(30.0)
    for number in range(10):
        assert tier.status(number).is_in_force_everywhere is False
        assert tier.status(number).behind == (9,)
    assert tier.versioned(9).rollout.version == 1


def test_a_version_that_waits_for_a_restart_somewhere_is_not_in_force_everywhere() -> None:
    tier = at_rest(10)
    waiting = tier.versioned(9)
    waiting.step(
        waiting.rollout.configuration_pending(tier.queue.now, 2)
    )  # something in its file can't be taken over
    tier.publish(2, first=0, members=range(9))
    tier.run(30.0)
    for number in range(10):
        assert tier.status(number).is_in_force_everywhere is False and tier.status(number).behind == (9,)
    assert waiting.rollout.version == 1


def test_a_file_that_comes_later_is_found_without_a_signal() -> None:
    tier = at_rest(10)
    tier.publish(2, first=0, members=range(9))
    tier.run(20.0)
    tier.files[9] = File.of(2)
    assert tier.until_in_force(2, 4.0 * 1.2 + 0.1) is not None
    assert tier.until_known(60.0) is not None


def test_a_file_that_never_comes_is_looked_for_in_bounded_steps_and_said_once() -> None:
    tier = at_rest(5)
    tier.publish(2, first=0, members=range(4))
    tier.run(60.0)
    first = tier.versioned(4).looks
    assert 15 <= first <= 30
    tier.run(600.0)
    assert tier.versioned(4).looks - first <= 15
    assert said(tier, VersionMissing, 2) == [4]
    assert sorted(said(tier, RolloutConcluded, 2)) == list(range(5))  # each says once who is behind
    tier.files[4] = File.of(2)
    assert tier.until_in_force(2, 60.0 * 1.2 + 0.1) is not None


def test_versions_may_be_skipped_and_come_quickly_after_each_other() -> None:
    tier = at_rest(12)
    for version in (2, 3, 7, 8):
        tier.publish(version, first=version % 12)
        tier.run(0.02)
    assert tier.until_in_force(8, IN_FORCE_S) is not None
    assert tier.until_known(IN_FORCE_S) is not None


def test_two_different_versions_at_once_end_in_the_greater() -> None:
    tier = at_rest(12)
    for number in range(6):
        tier.files[number] = File.of(2)
    for number in range(6, 12):
        tier.files[number] = File.of(3)
    tier.versioned(0).read()
    tier.versioned(6).read()
    tier.run(10.0)
    assert {tier.versioned(number).rollout.version for number in range(6)} == {2}
    assert tier.status(0).behind == tuple(range(6))
    for number in range(6):
        tier.files[number] = File.of(3)
    assert tier.until_in_force(3, 6.0) is not None


def test_while_a_wave_fills_the_answer_is_that_of_the_wave_before_and_says_how_old_it_is() -> None:
    tier = at_rest(9)
    wave_us = tier.versioned(0).rollout.round_interval_us
    waves = set()
    for _ in range(800):
        tier.run(0.25)
        found = tier.status(4)
        assert found.is_in_force_everywhere and found.round_age_us <= 2 * wave_us
        waves.add(found.round_number)
    assert len(waves) >= 5


def test_a_dead_member_is_tried_only_now_and_then() -> None:
    tier = at_rest(6)
    tier.kill(5)
    tier.run(60.0)
    receivers: list[int | None] = []
    carry = tier.carry

    def noted(source: Process, datagram: SendDatagram) -> None:
        if is_rollout_message(datagram.payload):
            receivers.append(datagram.receiver)
        carry(source, datagram)

    tier.carry = noted  # type: ignore[method-assign]
    tier.run(400.0)
    assert 0 < receivers.count(5) < 0.05 * len(receivers)


# Networks


@pytest.mark.parametrize(
    ("loss", "double", "late"),
    [(0.3, 0.0, 0.0), (0.0, 1.0, 0.0), (0.0, 0.0, 0.5), (0.3, 0.3, 0.3)],
    ids=["lost", "doubled", "late and out of order", "all of it"],
)
def test_in_force_and_known_with_datagrams(loss: float, double: float, late: float) -> None:
    tier = at_rest(20)
    tier.loss, tier.double, tier.late = loss, double, late
    tier.publish(2, first=3)
    assert tier.until_in_force(2, IN_FORCE_S) is not None
    assert tier.until_known(60.0) is not None
    tier.run(200.0)
    assert all(tier.status(number).is_in_force_everywhere for number in range(20))


def test_a_datagram_held_for_two_minutes_changes_nothing() -> None:
    tier = at_rest(6)
    until = tier.queue.now + 120 * S
    tier.held_until = lambda source, target: until if source == 5 else 0
    tier.run(5.0)
    tier.held_until = lambda source, target: 0
    tier.publish(2, first=0)
    assert tier.until_in_force(2, IN_FORCE_S) is not None
    tier.run(130.0)
    assert all(tier.status(number).is_in_force_everywhere for number in range(6))
    assert all(each.rollout.version == 2 for each in tier.everyone)


def test_two_halves_that_differ_for_an_hour_and_heal() -> None:
    tier = at_rest(6)
    tier.is_cut = lambda source, target: (source < 3) != (target < 3)
    tier.publish(2, first=0, members=range(3))
    for number in range(3, 6):
        tier.files[number] = File.of(3)
    tier.versioned(5).read()
    tier.run(3_600.0)
    for number in range(6):
        found = tier.status(number)
        assert found.version == tier.versioned(number).rollout.version == (2 if number < 3 else 3)
        assert found.is_in_force_everywhere is None  # whose word is lacking is said
        assert found.missing == ((3, 4, 5) if number < 3 else (0, 1, 2))
        assert (
            found.round_age_us <= 2 * tier.versioned(number).rollout.round_interval_us
        )  # half of the tier, and fresh
    tier.is_cut = lambda source, target: False
    for number in range(3):
        tier.files[number] = File.of(3)
    assert tier.until_known(90.0) is not None
    assert tier.in_force(3)


def test_alone_it_serves_on_and_says_whose_word_is_lacking() -> None:
    tier = at_rest(5)
    tier.is_cut = lambda source, target: 2 in (source, target)
    tier.run(300.0)
    found = tier.status(2)
    assert found.is_in_force_everywhere is None and found.missing == (0, 1, 3, 4)
    assert tier.versioned(2).rollout.version == 1
    assert tier.status(0).is_in_force_everywhere  # the others found it dead and go on without it
    assert (tier.status(0).in_force_count, tier.status(0).required_count) == (4, 4)


# Members


def test_a_paused_copy_is_unheard_or_left_out_and_follows_when_it_goes_on() -> None:
    tier = at_rest(8)
    tier.versioned(6).pause()
    tier.publish(2, first=0)
    tier.run(5.0)
    assert tier.status(0).is_in_force_everywhere is None and tier.status(0).missing == (6,)
    tier.run(60.0)
    assert tier.status(0).is_in_force_everywhere  # it was found dead
    tier.versioned(6).resume()
    assert tier.until_in_force(2, IN_FORCE_S) is not None
    assert tier.until_known(90.0) is not None


def test_a_copy_back_with_an_older_file_is_behind_at_once_and_follows_when_its_file_does() -> None:
    tier = at_rest(8)
    tier.publish(2, first=0)
    assert tier.until_known(30.0) is not None
    tier.run(100.0)
    tier.kill(3)
    tier.files[3] = File.of(1)
    tier.start(3)
    tier.run(5.0)
    for number in range(8):
        assert tier.status(number).is_in_force_everywhere is False and tier.status(number).behind == (3,)
    tier.files[3] = File.of(2)
    assert tier.until_in_force(2, 6.0) is not None
    assert tier.until_known(60.0) is not None


def test_a_member_that_falls_silent_falls_out_of_the_tally_within_two_waves() -> None:
    tier = at_rest(8)
    tier.versioned(3).rollout = Rollout(
        3, "elsewhere", MemberTable(8, 0), RolloutSettings(), random.Random(1), 0, 1, 0
    )  # its process lives and says nothing that the others take
    tier.run(2 * tier.versioned(0).rollout.round_interval_us / 1e6)
    assert tier.status(0).is_in_force_everywhere is None and tier.status(0).missing == (3,)


def test_seven_hundred_and_fifty_started_at_once_know_it_and_follow() -> None:
    tier = VersionedTier(750, is_membership_on=False)
    assert tier.until_known(IN_FORCE_S) is not None
    tier.publish(2, first=749)
    assert tier.until_in_force(2, IN_FORCE_S) is not None
    assert max(each.exchanges for each in tier.everyone) <= 64 + 10 * tier.queue.now / 1e6
    assert max(each.exchange_bytes / each.exchanges for each in tier.everyone) <= 256


def test_a_rolling_upgrade_with_members_of_the_version_before_that_never_answer() -> None:
    tier = VersionedTier(8, before=frozenset({0, 1, 2, 3}))
    tier.publish(2, first=7)
    tier.run(60.0)
    found = tier.status(7)
    assert (
        found.is_in_force_everywhere is None and found.missing == (0, 1, 2, 3) and found.in_force_count == 4
    )
    old = tier.of(0)
    assert old.dropped[DropReason.OTHER_FORMAT_VERSION] > 0 and set(old.dropped) == {
        DropReason.OTHER_FORMAT_VERSION
    }
    assert tier.is_agreed()  # membership goes on as it did
    tier.before = frozenset()
    for number in range(4):
        tier.upgrade(number)
    assert tier.until_known(60.0) is not None


def test_more_members_than_one_datagram_holds(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("sidecar.cluster.member_set.CHUNK_MEMBERS", 8)
    tier = VersionedTier(41, is_membership_on=False)  # six pieces, the last of one member
    assert tier.until_known(60.0) is not None
    tier.publish(2, first=40, members=range(40, 41))
    tier.run(20.0)
    assert tier.status(0).behind_count == 40
    for number in range(40):
        tier.files[number] = File.of(2)
    assert tier.until_in_force(2, IN_FORCE_S) is not None
    assert tier.until_known(60.0) is not None
    assert tier.status(0).in_force_count == tier.status(40).in_force_count == 41
    sizes = [each.exchange_bytes / each.exchanges for each in tier.everyone]
    assert max(sizes) < 40  # a head and one byte of each set


def test_a_tier_of_one_answers_for_itself() -> None:
    tier = VersionedTier(1)
    tier.publish(2, first=0)
    tier.run(100.0)
    assert tier.status(0).is_in_force_everywhere and not tier.versioned(0).exchanges


# Files


def test_a_lower_version_is_refused_and_what_is_in_force_stays() -> None:
    tier = at_rest(4)
    tier.publish(5, first=0)
    assert tier.until_known(30.0) is not None
    tier.files[2] = File.of(4)
    assert not tier.versioned(2).read()
    tier.run(5.0)
    assert tier.versioned(2).rollout.version == 5 and tier.status(0).is_in_force_everywhere
    rollout = tier.versioned(2).rollout
    assert rollout.configuration_applied(tier.queue.now, 4, 0) == [] and rollout.version == 5


def test_one_version_with_two_contents_is_named_by_all() -> None:
    tier = at_rest(8)
    tier.publish(2, first=0)
    assert tier.until_known(30.0) is not None
    assert not said(tier, AmbiguousVersion, 2)
    tier.files[5] = File(2, 99)
    assert tier.versioned(5).read()
    tier.run(30.0)
    assert sorted(said(tier, AmbiguousVersion, 2)) == list(range(8))
    assert (tier.status(1).min_digest, tier.status(1).max_digest) == (99, File.of(2).digest)
    tier.files[5] = File.of(2)
    assert tier.versioned(5).read()
    tier.run(120.0)  # by the next wave it is over
    assert not tier.status(1).is_ambiguous


def lie(tier: VersionedTier, sender: int, version: int, wave: int = 1, has: int = 0) -> None:
    tally = AggregationRound(version, wave, sender, tier.queue.now, 1, 1, has or member_bit(sender))
    payload = encode(cluster_id(tier.name), sender, ExchangeKind.PUSH, tally, 0, tier.queue.now)
    for each in tier.everyone:
        if each.number != sender:
            each.hear(sender, payload)


def test_a_lie_of_a_huge_version_costs_a_bounded_number_of_looks_and_is_forgotten() -> None:
    tier = at_rest(10)
    sent = [each.exchanges for each in tier.everyone]
    for _ in range(30):
        lie(tier, 9, MAX_CONFIGURATION_VERSION)
        tier.run(1.0)
    found = tier.status(0)
    assert found.version == MAX_CONFIGURATION_VERSION and found.is_in_force_everywhere is False
    assert tier.versioned(0).rollout.round.first_reported_by == 9
    assert all(each.rollout.version == 1 for each in tier.everyone)
    assert max(each.looks for each in tier.everyone) <= 20
    assert max(each.exchanges - old for each, old in zip(tier.everyone, sent, strict=True)) <= 64 + 300
    tier.run(200.0)
    assert set(said(tier, VersionForgotten, MAX_CONFIGURATION_VERSION)) == set(range(10))
    assert all(tier.status(number).is_in_force_everywhere for number in range(10))
    tier.publish(2, first=0)
    assert tier.until_in_force(2, IN_FORCE_S) is not None


def test_while_a_lie_stands_a_file_is_found_within_a_minute_although_nobody_tells_of_it() -> None:
    tier = at_rest(6)
    for second in range(150):
        lie(tier, 5, MAX_CONFIGURATION_VERSION, wave=second + 1)
        tier.run(1.0)
    tier.publish(2, first=0)
    for second in range(150, 230):
        lie(tier, 5, MAX_CONFIGURATION_VERSION, wave=second + 1)
        tier.run(1.0)
    assert {each.rollout.version for each in tier.everyone if each.number != 5} == {2}
    assert tier.status(0).version == MAX_CONFIGURATION_VERSION


def test_a_liar_that_names_ever_higher_versions_gets_a_bounded_number_of_answers() -> None:
    tier = at_rest(10)
    began = [(each.exchanges, each.looks) for each in tier.everyone]
    for count in range(2_000):
        lie(tier, 9, 1_000 + count)
        tier.run(0.01)
    for each, (exchanges, looks) in zip(tier.everyone, began, strict=True):
        assert each.exchanges - exchanges <= 64 + 10 * 20 + 16
        assert each.looks - looks <= 4 * 20 + 1


def test_a_lie_of_the_last_wave_is_over_after_some_waves() -> None:
    tier = at_rest(6)
    lie(tier, 5, 1, wave=MAX_ROUND_NUMBER, has=member_bit(0) | member_bit(1))
    tier.run(4 * tier.versioned(0).rollout.round_interval_us / 1e6 + 30.0)
    assert tier.versioned(0).rollout.round.number < MAX_ROUND_NUMBER
    assert all(tier.status(number).is_in_force_everywhere for number in range(6))


def test_an_old_tally_is_not_taken() -> None:
    tier = at_rest(3)
    rollout = tier.versioned(0).rollout
    now = tier.queue.now
    old = AggregationRound(9, 1, 2, now - 3 * rollout.round_interval_us - S, 1, 1, member_bit(2))
    rollout.datagram_received(now, 2, encode(cluster_id(tier.name), 2, ExchangeKind.PUSH_PULL, old, 0, now))
    assert rollout.round.version == 1 and rollout.dropped[DropReason.TOO_OLD] == 1


def test_names_in_an_answer_are_bounded_and_the_rest_is_counted() -> None:
    tier = VersionedTier(60, is_membership_on=False)
    tier.publish(2, first=0, members=range(1))
    tier.run(5.0)
    found = tier.status(0)
    assert len(found.behind) == MAX_LISTED_MEMBERS and found.behind_count == 59


# Costs


def test_at_rest_datagrams_do_not_grow_with_the_tier() -> None:
    rates = {}
    for size in (8, 32, 96):
        tier = at_rest(size, is_membership_on=False)
        sent = sum(each.exchanges for each in tier.everyone)
        tier.run(200.0)
        rates[size] = (sum(each.exchanges for each in tier.everyone) - sent) / size / 200
    assert max(rates.values()) <= 1.0
    assert rates[96] <= 1.5 * rates[8]


def test_the_wake_goes_before_the_look_and_both_come_of_one_event() -> None:
    tier = at_rest(3, rollout=RolloutSettings(spread_s=0.0))
    rollout = tier.versioned(0).rollout
    now = tier.queue.now
    news = AggregationRound(9, 1, 2, now, 1, 1, member_bit(2))
    out = rollout.datagram_received(now, 2, encode(cluster_id(tier.name), 2, ExchangeKind.PUSH, news, 0, now))
    assert isinstance(out[-1], ReadConfiguration)
    assert {each.receiver for each in out if isinstance(each, SendDatagram)} <= {1}


@pytest.fixture(autouse=True)
def no_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing here may look at the machine's clock."""

    def forbidden() -> float:
        raise AssertionError("the clock was read")

    monkeypatch.setattr(time, "time", forbidden)


def test_every_member_is_one_that_compares_versions() -> None:
    assert all(isinstance(each, Versioned) for each in VersionedTier(3).everyone)
