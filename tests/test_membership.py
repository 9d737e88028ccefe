"""Membership in virtual time: each hard case by name, on the lines that the sidecar runs."""

from __future__ import annotations

import msgspec
import pytest

from sidecar.cluster.actions import DuplicateMember, MemberStateChanged, ProcessStalled, SendDatagram
from sidecar.cluster.limits import MAX_DATAGRAM_BYTES
from sidecar.cluster.membership import Membership
from sidecar.cluster.message import MembershipUpdate, MemberState, Message, MessageKind, cluster_id, encode
from sidecar.cluster.settings import MembershipSettings
from testbed.cluster_simulation.virtual import VirtualCluster

HEALED_S = 60.0  # the bound that docs/membership.md states for clusters of up to 20, at rest


def settled(size: int, **how: object) -> VirtualCluster:
    """A cluster whose members know each other, and nothing told yet."""
    cluster = VirtualCluster(size, **how)  # type: ignore[arg-type]
    assert cluster.until_agreed(30.0) is not None
    cluster.run(10.0)
    cluster.reports.clear()
    return cluster


def groups(*members: set[int]) -> dict[int, int]:
    return {member: number for number, own in enumerate(members) for member in own}


def cut_between(cluster: VirtualCluster, *members: set[int]) -> None:
    side = groups(*members)
    cluster.is_cut = lambda source, target: side[source] != side[target]


def heal(cluster: VirtualCluster) -> None:
    cluster.is_cut = lambda source, target: False


def test_all_started_at_once_know_each_other_and_nobody_is_suspected() -> None:
    cluster = VirtualCluster(30)
    assert cluster.until_agreed(30.0) is not None
    assert not cluster.state_changes(MemberState.SUSPECTED) and not cluster.state_changes(MemberState.DEAD)
    assert {cluster.of(number).size().present for number in cluster.alive} == {30}


@pytest.mark.parametrize("size", [1, 2, 3])
def test_a_tier_of(size: int) -> None:
    cluster = VirtualCluster(size)
    assert cluster.until_agreed(5.0) is not None
    if size > 1:
        cluster.kill(1)
        assert cluster.until_agreed(40.0) is not None
        cluster.start(1)
        assert cluster.until_agreed(HEALED_S) is not None
        cluster.leave(1)
        assert cluster.until_agreed(1.0) is not None
    assert cluster.of(0).size().present == max(size - 1, 1)


def test_a_killed_one_is_found_out_and_a_planned_end_is_known_at_once() -> None:
    cluster = settled(12)
    cluster.kill(3)
    assert cluster.until_agreed(40.0) is not None
    assert {what.state for _, _, what in cluster.state_changes(MemberState.DEAD)} == {MemberState.DEAD}
    cluster.leave(4)
    assert cluster.until_agreed(0.5) is not None
    assert {by for _, by, _ in cluster.state_changes(MemberState.LEFT, 4)} == set(cluster.alive)
    assert not cluster.state_changes(MemberState.SUSPECTED, 4)


def test_a_restart_is_a_new_life_and_the_old_one_never_comes_back() -> None:
    cluster = settled(8)
    old = cluster.of(2).incarnation
    cluster.kill(2)
    cluster.run(0.3)
    cluster.start(2)
    assert cluster.until_agreed(HEALED_S) is not None
    assert cluster.of(2).incarnation > old
    assert {cluster.of(number).table[2].update.incarnation for number in cluster.alive} == {
        cluster.of(2).incarnation
    }


def test_a_copy_back_with_an_older_clock_takes_a_later_life() -> None:
    cluster = settled(8)
    old = cluster.of(2).incarnation
    cluster.kill(2)
    cluster.start(2, ahead_s=-86_400.0)
    assert cluster.until_agreed(HEALED_S) is not None
    assert cluster.of(2).incarnation > old


@pytest.mark.parametrize("ahead_s", [-1e10, -3_600.0, 3_600.0, 1e10])
def test_clock_steps_between_starts_do_no_harm(ahead_s: float) -> None:
    cluster = settled(5)
    for step in (ahead_s, 0.0):
        cluster.kill(1)
        cluster.start(1, ahead_s=step)
        assert cluster.until_agreed(HEALED_S) is not None


def test_a_cut_in_two_halves_heals() -> None:
    cluster = settled(10)
    one, other = set(range(5)), set(range(5, 10))
    cut_between(cluster, one, other)
    cluster.run(120.0)
    for number in range(10):
        size = cluster.of(number).size()
        assert size.dead == 5 and size.is_in_minority
    heal(cluster)
    assert cluster.until_agreed(HEALED_S) is not None
    assert not cluster.of(0).size().is_in_minority


def test_a_cut_in_three_heals_and_the_small_parts_know_that_they_are_few() -> None:
    cluster = settled(10)
    cut_between(cluster, {0, 1}, {2, 3}, {4, 5, 6, 7, 8, 9})
    cluster.run(200.0)
    assert [cluster.of(number).size().is_in_minority for number in range(10)] == [True] * 4 + [False] * 6
    heal(cluster)
    assert cluster.until_agreed(HEALED_S) is not None


def test_a_cut_one_way_only_ends_with_all_agreed() -> None:
    cluster = settled(8)
    cluster.is_cut = lambda source, target: source == 3  # it hears and is not heard
    cluster.run(100.0)
    assert all(cluster.of(number).table[3].has_ended for number in cluster.alive if number != 3)
    heal(cluster)
    assert cluster.until_agreed(HEALED_S) is not None


def test_a_sees_b_but_c_does_not_and_nobody_is_called_dead() -> None:
    cluster = settled(8)
    cluster.is_cut = lambda source, target: {source, target} == {1, 2}
    cluster.run(120.0)
    assert not cluster.state_changes(MemberState.DEAD)
    heal(cluster)
    assert cluster.until_agreed(HEALED_S) is not None


def test_paused_for_ten_seconds_and_back_without_having_been_called_dead() -> None:
    cluster = settled(30, settings=MembershipSettings(suspicion_periods=20.0))
    process = cluster.processes[4][0]
    process.pause()
    cluster.run(10.0)
    process.resume()
    assert cluster.until_agreed(HEALED_S) is not None
    assert not cluster.state_changes(MemberState.DEAD)
    assert any(isinstance(what, ProcessStalled) for _, by, what in cluster.reports if by == 4)


def test_paused_and_back_having_been_called_dead_is_present_again_as_a_new_life() -> None:
    cluster = settled(7)
    process, old = cluster.processes[4][0], cluster.of(4).incarnation
    process.pause()
    cluster.run(60.0)
    assert cluster.state_changes(MemberState.DEAD, 4)
    process.resume()
    assert cluster.until_agreed(HEALED_S) is not None
    assert cluster.of(4).incarnation > old


def test_a_paused_copy_suspects_itself_and_calls_nobody_dead_that_lives() -> None:
    cluster = settled(20)
    process = cluster.processes[4][0]
    process.pause()
    cluster.run(10.0)
    process.resume()
    health = cluster.of(4).health.score
    cluster.run(60.0)
    assert health == 7
    assert not [
        what
        for _, by, what in cluster.reports
        if by == 4 and isinstance(what, MemberStateChanged) and what.reported_by == 4
    ]


def test_a_copy_that_is_cut_off_doubts_itself_first() -> None:
    cluster = settled(20)
    cut_between(cluster, {4}, set(range(20)) - {4})
    cluster.run(12.0)
    assert cluster.of(4).health.score >= 2
    assert not [what for _, by, what in cluster.reports if by == 4 and isinstance(what, MemberStateChanged)]


def test_seven_in_ten_killed_at_once_are_found_and_taken_up_again() -> None:
    cluster = settled(20)
    for number in range(14):
        cluster.kill(number)
    assert cluster.until_agreed(120.0) is not None
    assert cluster.of(19).size().present == 6 and cluster.of(19).size().is_in_minority
    for number in range(14):
        cluster.start(number)
    assert cluster.until_agreed(HEALED_S) is not None


def test_rolling_restart_of_a_tenth_at_a_time_calls_nobody_dead() -> None:
    cluster = settled(20)
    for first in range(0, 20, 2):
        for number in (first, first + 1):
            cluster.leave(number)
        cluster.run(0.5)
        for number in (first, first + 1):
            cluster.start(number)
        cluster.run(1.0)
    assert cluster.until_agreed(HEALED_S) is not None
    assert not cluster.state_changes(MemberState.DEAD)


def test_flapping_every_second_ends_with_the_last_life() -> None:
    cluster = settled(8)
    for _ in range(20):
        cluster.kill(3)
        cluster.run(0.5)
        cluster.start(3)
        cluster.run(0.5)
    assert cluster.until_agreed(HEALED_S) is not None
    assert {what.member for _, _, what in cluster.state_changes(MemberState.DEAD)} <= {3}


def test_datagrams_doubled_and_reordered_change_nothing() -> None:
    cluster = settled(8)
    cluster.double = cluster.late = 0.5
    cluster.run(200.0)
    assert not cluster.state_changes(MemberState.DEAD)
    cluster.kill(1)
    assert cluster.until_agreed(HEALED_S) is not None


def test_datagrams_held_back_for_thirty_seconds_bring_nobody_back() -> None:
    cluster = settled(8)
    until = cluster.queue.now + 30_000_000
    cluster.held_until = lambda source, target: until if source == 3 else 0
    cluster.run(5.0)
    cluster.kill(3)
    cluster.run(24.0)
    cluster.reports.clear()
    assert cluster.until_agreed(HEALED_S) is not None
    assert not cluster.state_changes(MemberState.PRESENT, 3)


def test_loss_of_thirty_in_a_hundred_calls_nobody_dead_for_long() -> None:
    cluster = settled(7)
    cluster.loss = 0.3
    cluster.run(600.0)
    cluster.loss = 0.0
    assert cluster.until_agreed(HEALED_S) is not None
    cluster.reports.clear()
    cluster.loss = 0.3
    cluster.kill(2)
    cluster.run(120.0)
    assert all(cluster.of(number).table[2].has_ended for number in cluster.alive)


def test_two_processes_of_an_upgrade_are_one_member_and_neither_is_called_dead() -> None:
    cluster = settled(10)
    before = cluster.of(4).incarnation
    cluster.upgrade(4, overlap_us=20_000_000)
    cluster.run(19.0)
    assert {cluster.of(number).table[4].update.incarnation for number in cluster.alive} == {
        cluster.of(4).incarnation
    }
    cluster.run(20.0)
    assert cluster.is_agreed() and cluster.of(4).incarnation > before
    for state in (MemberState.SUSPECTED, MemberState.DEAD, MemberState.LEFT):
        assert not cluster.state_changes(state, 4)


def test_an_old_process_that_ends_before_it_heard_of_its_successor_says_nothing() -> None:
    cluster = settled(10)
    cluster.upgrade(4, overlap_us=0)
    assert cluster.until_agreed(HEALED_S) is not None
    for state in (MemberState.SUSPECTED, MemberState.DEAD, MemberState.LEFT):
        assert not cluster.state_changes(state, 4)


def test_two_processes_that_claim_one_number_for_long_are_named_and_stay() -> None:
    cluster = settled(6)
    cluster.start(2)
    cluster.run(300.0)
    named = [at for at, _, what in cluster.reports if isinstance(what, DuplicateMember)]
    assert 2 <= len(named) <= 12  # again and again, but seldom
    assert not cluster.state_changes(MemberState.DEAD) and not cluster.state_changes(MemberState.LEFT)
    assert all(cluster.of(number).size().present == 6 for number in cluster.alive if number != 2)


def test_peers_changed_while_a_cut_lasts() -> None:
    cluster = settled(6)
    cut_between(cluster, {0, 1, 2}, {3, 4, 5, 6, 7})
    cluster.run(60.0)
    cluster.size = 8
    for number in cluster.alive:
        process = cluster.processes[number][0]
        process.carry_out(process.membership.configure(cluster.queue.now, 8, cluster.settings))
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
        process.carry_out(process.membership.configure(cluster.queue.now, 6, cluster.settings))
    assert cluster.until_agreed(HEALED_S) is not None
    assert len(cluster.of(0).table) == 6


def test_ten_in_a_hundred_slow_are_not_called_dead() -> None:
    cluster = settled(20)
    for number in (3, 7):
        cluster.processes[number][0].late_us = 300_000
    cluster.run(300.0)
    assert not cluster.state_changes(MemberState.DEAD)


def test_the_budget_holds_at_rest_and_grows_with_requests() -> None:
    cluster = settled(20)
    before = {number: cluster.processes[number][0].sent for number in cluster.alive}
    cluster.run(100.0)
    for number in cluster.alive:
        assert (
            cluster.processes[number][0].sent - before[number] <= 106
        )  # one a second, and what was saved up
    busy = cluster.of(0)
    rest = busy._context.period_us(cluster.queue.now)
    busy.requests_taken(cluster.queue.now, 200)
    assert busy._context.period_us(cluster.queue.now) < rest


def test_a_flood_of_questions_is_answered_within_the_budget() -> None:
    cluster = settled(3)
    member, now = cluster.of(0), cluster.queue.now
    pings = [a_message(sequence_number=number) for number in range(200)]
    actions = [action for ping in pings for action in member.datagram_received(now, 1, ping)]
    assert 10 <= len([action for action in actions if isinstance(action, SendDatagram)]) <= 30


# Datagrams that are not taken

TIER = "a"


def one() -> Membership:
    cluster = VirtualCluster(3, name=TIER)
    cluster.run(5.0)
    return cluster.of(0)


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
    cluster = VirtualCluster(300, start=range(40))
    sizes: list[int] = []
    carry = cluster.carry

    def measured(source: object, datagram: SendDatagram) -> None:
        sizes.append(len(datagram.payload))
        carry(source, datagram)  # type: ignore[arg-type]

    cluster.carry = measured  # type: ignore[method-assign]
    cluster.run(40.0)
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
