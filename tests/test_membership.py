"""Membership in virtual time: each hard case by name, on the lines that the sidecar runs."""

from __future__ import annotations

import msgspec
import pytest

from sidecar.cluster.actions import DuplicateMember, MemberStateChanged, ProcessStalled, SendDatagram
from sidecar.cluster.limits import MAX_DATAGRAM_BYTES
from sidecar.cluster.membership import Membership
from sidecar.cluster.message import MembershipUpdate, MemberState, Message, MessageKind, cluster_id, encode
from sidecar.cluster.settings import MembershipSettings
from testbed.cluster_simulation.virtual import VirtualTier

HEALED_S = 60.0  # the bound that docs/membership.md states for tiers of up to 20, at rest


def settled(size: int, **how: object) -> VirtualTier:
    """A tier whose members know each other, and nothing told yet."""
    tier = VirtualTier(size, **how)  # type: ignore[arg-type]
    assert tier.until_agreed(30.0) is not None
    tier.run(10.0)
    tier.told.clear()
    return tier


def groups(*members: set[int]) -> dict[int, int]:
    return {member: number for number, own in enumerate(members) for member in own}


def cut_between(tier: VirtualTier, *members: set[int]) -> None:
    side = groups(*members)
    tier.is_cut = lambda source, target: side[source] != side[target]


def heal(tier: VirtualTier) -> None:
    tier.is_cut = lambda source, target: False


def test_all_started_at_once_know_each_other_and_nobody_is_suspected() -> None:
    tier = VirtualTier(30)
    assert tier.until_agreed(30.0) is not None
    assert not tier.news(MemberState.SUSPECTED) and not tier.news(MemberState.DEAD)
    assert {tier.of(number).size().present for number in tier.alive} == {30}


@pytest.mark.parametrize("size", [1, 2, 3])
def test_a_tier_of(size: int) -> None:
    tier = VirtualTier(size)
    assert tier.until_agreed(5.0) is not None
    if size > 1:
        tier.kill(1)
        assert tier.until_agreed(40.0) is not None
        tier.start(1)
        assert tier.until_agreed(HEALED_S) is not None
        tier.leave(1)
        assert tier.until_agreed(1.0) is not None
    assert tier.of(0).size().present == max(size - 1, 1)


def test_a_killed_one_is_found_out_and_a_planned_end_is_known_at_once() -> None:
    tier = settled(12)
    tier.kill(3)
    assert tier.until_agreed(40.0) is not None
    assert {what.state for _, _, what in tier.news(MemberState.DEAD)} == {MemberState.DEAD}
    tier.leave(4)
    assert tier.until_agreed(0.5) is not None
    assert {by for _, by, _ in tier.news(MemberState.LEFT, 4)} == set(tier.alive)
    assert not tier.news(MemberState.SUSPECTED, 4)


def test_a_restart_is_a_new_life_and_the_old_one_never_comes_back() -> None:
    tier = settled(8)
    old = tier.of(2).incarnation
    tier.kill(2)
    tier.run(0.3)
    tier.start(2)
    assert tier.until_agreed(HEALED_S) is not None
    assert tier.of(2).incarnation > old
    assert {tier.of(number).table[2].update.incarnation for number in tier.alive} == {tier.of(2).incarnation}


def test_a_copy_back_with_an_older_clock_takes_a_later_life() -> None:
    tier = settled(8)
    old = tier.of(2).incarnation
    tier.kill(2)
    tier.start(2, ahead_s=-86_400.0)
    assert tier.until_agreed(HEALED_S) is not None
    assert tier.of(2).incarnation > old


@pytest.mark.parametrize("ahead_s", [-1e10, -3_600.0, 3_600.0, 1e10])
def test_clock_steps_between_starts_do_no_harm(ahead_s: float) -> None:
    tier = settled(5)
    for step in (ahead_s, 0.0):
        tier.kill(1)
        tier.start(1, ahead_s=step)
        assert tier.until_agreed(HEALED_S) is not None


def test_a_cut_in_two_halves_heals() -> None:
    tier = settled(10)
    one, other = set(range(5)), set(range(5, 10))
    cut_between(tier, one, other)
    tier.run(120.0)
    for number in range(10):
        size = tier.of(number).size()
        assert size.dead == 5 and size.is_in_minority
    heal(tier)
    assert tier.until_agreed(HEALED_S) is not None
    assert not tier.of(0).size().is_in_minority


def test_a_cut_in_three_heals_and_the_small_parts_know_that_they_are_few() -> None:
    tier = settled(10)
    cut_between(tier, {0, 1}, {2, 3}, {4, 5, 6, 7, 8, 9})
    tier.run(200.0)
    assert [tier.of(number).size().is_in_minority for number in range(10)] == [True] * 4 + [False] * 6
    heal(tier)
    assert tier.until_agreed(HEALED_S) is not None


def test_a_cut_one_way_only_ends_with_all_agreed() -> None:
    tier = settled(8)
    tier.is_cut = lambda source, target: source == 3  # it hears and is not heard
    tier.run(100.0)
    assert all(tier.of(number).table[3].has_ended for number in tier.alive if number != 3)
    heal(tier)
    assert tier.until_agreed(HEALED_S) is not None


def test_a_sees_b_but_c_does_not_and_nobody_is_called_dead() -> None:
    tier = settled(8)
    tier.is_cut = lambda source, target: {source, target} == {1, 2}
    tier.run(120.0)
    assert not tier.news(MemberState.DEAD)
    heal(tier)
    assert tier.until_agreed(HEALED_S) is not None


def test_paused_for_ten_seconds_and_back_without_having_been_called_dead() -> None:
    tier = settled(30, settings=MembershipSettings(suspicion_periods=20.0))
    process = tier.processes[4][0]
    process.pause()
    tier.run(10.0)
    process.resume()
    assert tier.until_agreed(HEALED_S) is not None
    assert not tier.news(MemberState.DEAD)
    assert any(isinstance(what, ProcessStalled) for _, by, what in tier.told if by == 4)


def test_paused_and_back_having_been_called_dead_is_present_again_as_a_new_life() -> None:
    tier = settled(7)
    process, old = tier.processes[4][0], tier.of(4).incarnation
    process.pause()
    tier.run(60.0)
    assert tier.news(MemberState.DEAD, 4)
    process.resume()
    assert tier.until_agreed(HEALED_S) is not None
    assert tier.of(4).incarnation > old


def test_a_paused_copy_suspects_itself_and_calls_nobody_dead_that_lives() -> None:
    tier = settled(20)
    process = tier.processes[4][0]
    process.pause()
    tier.run(10.0)
    process.resume()
    health = tier.of(4).health.score
    tier.run(60.0)
    assert health == 7
    assert not [
        what
        for _, by, what in tier.told
        if by == 4 and isinstance(what, MemberStateChanged) and what.reported_by == 4
    ]


def test_a_copy_that_is_cut_off_doubts_itself_first() -> None:
    tier = settled(20)
    cut_between(tier, {4}, set(range(20)) - {4})
    tier.run(12.0)
    assert tier.of(4).health.score >= 2
    assert not [what for _, by, what in tier.told if by == 4 and isinstance(what, MemberStateChanged)]


def test_seven_in_ten_killed_at_once_are_found_and_taken_up_again() -> None:
    tier = settled(20)
    for number in range(14):
        tier.kill(number)
    assert tier.until_agreed(120.0) is not None
    assert tier.of(19).size().present == 6 and tier.of(19).size().is_in_minority
    for number in range(14):
        tier.start(number)
    assert tier.until_agreed(HEALED_S) is not None


def test_rolling_restart_of_a_tenth_at_a_time_calls_nobody_dead() -> None:
    tier = settled(20)
    for first in range(0, 20, 2):
        for number in (first, first + 1):
            tier.leave(number)
        tier.run(0.5)
        for number in (first, first + 1):
            tier.start(number)
        tier.run(1.0)
    assert tier.until_agreed(HEALED_S) is not None
    assert not tier.news(MemberState.DEAD)


def test_flapping_every_second_ends_with_the_last_life() -> None:
    tier = settled(8)
    for _ in range(20):
        tier.kill(3)
        tier.run(0.5)
        tier.start(3)
        tier.run(0.5)
    assert tier.until_agreed(HEALED_S) is not None
    assert {what.member for _, _, what in tier.news(MemberState.DEAD)} <= {3}


def test_datagrams_doubled_and_reordered_change_nothing() -> None:
    tier = settled(8)
    tier.double = tier.late = 0.5
    tier.run(200.0)
    assert not tier.news(MemberState.DEAD)
    tier.kill(1)
    assert tier.until_agreed(HEALED_S) is not None


def test_datagrams_held_back_for_thirty_seconds_bring_nobody_back() -> None:
    tier = settled(8)
    until = tier.queue.now + 30_000_000
    tier.held_until = lambda source, target: until if source == 3 else 0
    tier.run(5.0)
    tier.kill(3)
    tier.run(24.0)
    tier.told.clear()
    assert tier.until_agreed(HEALED_S) is not None
    assert not tier.news(MemberState.PRESENT, 3)


def test_loss_of_thirty_in_a_hundred_calls_nobody_dead_for_long() -> None:
    tier = settled(7)
    tier.loss = 0.3
    tier.run(600.0)
    tier.loss = 0.0
    assert tier.until_agreed(HEALED_S) is not None
    tier.told.clear()
    tier.loss = 0.3
    tier.kill(2)
    tier.run(120.0)
    assert all(tier.of(number).table[2].has_ended for number in tier.alive)


def test_two_processes_of_an_upgrade_are_one_member_and_neither_is_called_dead() -> None:
    tier = settled(10)
    before = tier.of(4).incarnation
    tier.upgrade(4, overlap_us=20_000_000)
    tier.run(19.0)
    assert {tier.of(number).table[4].update.incarnation for number in tier.alive} == {tier.of(4).incarnation}
    tier.run(20.0)
    assert tier.is_agreed() and tier.of(4).incarnation > before
    for state in (MemberState.SUSPECTED, MemberState.DEAD, MemberState.LEFT):
        assert not tier.news(state, 4)


def test_an_old_process_that_ends_before_it_heard_of_its_successor_says_nothing() -> None:
    tier = settled(10)
    tier.upgrade(4, overlap_us=0)
    assert tier.until_agreed(HEALED_S) is not None
    for state in (MemberState.SUSPECTED, MemberState.DEAD, MemberState.LEFT):
        assert not tier.news(state, 4)


def test_two_processes_that_claim_one_number_for_long_are_named_and_stay() -> None:
    tier = settled(6)
    tier.start(2)
    tier.run(300.0)
    named = [at for at, _, what in tier.told if isinstance(what, DuplicateMember)]
    assert 2 <= len(named) <= 12  # again and again, but seldom
    assert not tier.news(MemberState.DEAD) and not tier.news(MemberState.LEFT)
    assert all(tier.of(number).size().present == 6 for number in tier.alive if number != 2)


def test_peers_changed_while_a_cut_lasts() -> None:
    tier = settled(6)
    cut_between(tier, {0, 1, 2}, {3, 4, 5, 6, 7})
    tier.run(60.0)
    tier.size = 8
    for number in tier.alive:
        process = tier.processes[number][0]
        process.carry_out(process.membership.configure(tier.queue.now, 8, tier.settings))
    tier.start(6)
    tier.start(7)
    tier.run(20.0)
    heal(tier)
    assert tier.until_agreed(HEALED_S) is not None
    for number in (6, 7):
        tier.leave(number)
    tier.size = 6
    for number in tier.alive:
        process = tier.processes[number][0]
        process.carry_out(process.membership.configure(tier.queue.now, 6, tier.settings))
    assert tier.until_agreed(HEALED_S) is not None
    assert len(tier.of(0).table) == 6


def test_ten_in_a_hundred_slow_are_not_called_dead() -> None:
    tier = settled(20)
    for number in (3, 7):
        tier.processes[number][0].late_us = 300_000
    tier.run(300.0)
    assert not tier.news(MemberState.DEAD)


def test_the_budget_holds_at_rest_and_grows_with_requests() -> None:
    tier = settled(20)
    before = {number: tier.processes[number][0].sent for number in tier.alive}
    tier.run(100.0)
    for number in tier.alive:
        assert tier.processes[number][0].sent - before[number] <= 106  # one a second, and what was saved up
    busy = tier.of(0)
    rest = busy._context.period_us(tier.queue.now)
    busy.requests_taken(tier.queue.now, 200)
    assert busy._context.period_us(tier.queue.now) < rest


def test_a_flood_of_questions_is_answered_within_the_budget() -> None:
    tier = settled(3)
    member, now = tier.of(0), tier.queue.now
    pings = [a_message(sequence_number=number) for number in range(200)]
    actions = [action for ping in pings for action in member.datagram_received(now, 1, ping)]
    assert 10 <= len([action for action in actions if isinstance(action, SendDatagram)]) <= 30


# Datagrams that are not taken

TIER = "a"


def one() -> Membership:
    tier = VirtualTier(3, name=TIER)
    tier.run(5.0)
    return tier.of(0)


def a_message(**changed: object) -> bytes:
    life = 10
    plain = Message(1, cluster_id(TIER), 1, life, MessageKind.PING, 5, -1, 0, 0, b"", [])
    return encode(msgspec.structs.replace(plain, **changed))


UNFIT = {
    "truncated": (a_message()[:-3], "malformed"),
    "empty": (b"", "malformed"),
    "garbage": (b"\xff" * 40, "malformed"),
    "longer than any": (a_message() + b"\0" * MAX_DATAGRAM_BYTES, "too long"),
    "more behind its end": (a_message() + b"\0", "malformed"),
    "a number of another": (a_message(sender=2), "another's number"),
    "a newer version": (a_message(format_version=2), "another version"),
    "an older version": (a_message(format_version=0), "another version"),
    "another tier": (a_message(cluster=cluster_id("b")), "another tier"),
    "a claim on no such state": (a_message(updates=[(2, 10, 1 << 30, 1)]), "malformed"),
    "a life without end": (a_message(updates=[(2, 0xFFFF_FFFF, 2, 1)]), "malformed"),
}


@pytest.mark.parametrize("name", UNFIT)
def test_what_does_not_fit_is_counted_and_changes_nothing(name: str) -> None:
    payload, reason = UNFIT[name]
    member = one()
    before = [each.update for each in member.table.records]
    assert member.datagram_received(6_000_000, 1, payload) == []
    assert member.dropped == {reason: 1}
    assert [each.update for each in member.table.records] == before


def test_a_foreign_sender_is_not_heard() -> None:
    member = one()
    for sender in (-1, 0, 3, 70_000):
        assert member.datagram_received(6_000_000, sender, a_message()) == []
    assert member.dropped == {"a stranger": 4}


def test_a_claim_on_a_member_that_is_not_configured_is_counted_alone() -> None:
    member = one()
    updates = [MembershipUpdate.create(77, 10, MemberState.DEAD, 0, 1)]
    out = member.datagram_received(6_000_000, 1, a_message(updates=updates))
    assert member.dropped == {"unknown member": 1} and len(member.table) == 3
    assert any(isinstance(each, SendDatagram) for each in out)


def test_every_datagram_fits() -> None:
    tier = VirtualTier(300, start=range(40))
    sizes: list[int] = []
    carry = tier.carry

    def measured(source: object, datagram: SendDatagram) -> None:
        sizes.append(len(datagram.payload))
        carry(source, datagram)  # type: ignore[arg-type]

    tier.carry = measured  # type: ignore[method-assign]
    tier.run(40.0)
    assert max(sizes) > 200 and max(sizes) <= MAX_DATAGRAM_BYTES


@pytest.mark.parametrize(
    ("given", "named"),
    [
        ({"on": 1}, "on"),
        ({"datagrams_per_s": 2.0}, "datagrams_per_s"),
        ({"least_period_ms": 1.5}, "least_period_ms"),
        ({"relays": True}, "relays"),
        ({"relays": "3"}, "relays"),
        ({"suspicion_periods": float("nan")}, "suspicion_periods"),
        ({"fast": True}, "fast"),
        ([], "object"),
    ],
)
def test_settings_that_make_no_sense_name_their_key(given: object, named: str) -> None:
    with pytest.raises(ValueError, match=named):
        MembershipSettings.from_mapping(given)


def test_settings_are_read() -> None:
    given = {"on": False, "relays": 0, "datagrams_per_s": 1}
    assert MembershipSettings.from_mapping(given) == MembershipSettings(on=False, relays=0)
    assert MembershipSettings.from_mapping(None) == MembershipSettings()
