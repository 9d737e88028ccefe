"""The laws of the tally, in any order of tellings; datagrams read strictly; whatever comes is bounded."""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as how
from hypothesis import strategies as st

from sidecar.cluster import message
from sidecar.cluster.actions import SendDatagram
from sidecar.cluster.exchange import (
    LAST_VERSION,
    LAST_WAVE,
    MOST_AGE,
    Exchange,
    Kind,
    is_exchange,
    read,
    write,
)
from sidecar.cluster.limits import MAX_DATAGRAM_BYTES
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.message import MAX_MEMBERS, InvalidDatagram, cluster_id
from sidecar.cluster.rollout import Rollout
from sidecar.cluster.settings import RolloutSettings
from sidecar.cluster.tally import NO_DIGEST, PIECE, Tally, bit, members, unpacked
from testbed.cluster_simulation.versions import File, VersionedTier

SIZE = 5
TIER = cluster_id("a")
QUICKLY = how(max_examples=150, deadline=None, derandomize=True)


@st.composite
def tallies(draw: st.DrawFn, versions: int = 3, waves: int = 3) -> Tally:
    low, high = draw(st.sampled_from([NO_DIGEST, (4, 4), (4, 9), (7, 7)]))
    return Tally(
        draw(st.integers(1, versions)),
        draw(st.integers(1, waves)),
        draw(st.integers(0, SIZE - 1)),
        draw(st.integers(0, 5)),
        low,
        high,
        draw(st.integers(0, 2**SIZE - 1)),
        draw(st.integers(0, 2**SIZE - 1)),
    )


@QUICKLY
@given(tallies(), tallies(), tallies())
def test_the_merge_is_idempotent_commutative_and_associative(one: Tally, two: Tally, three: Tally) -> None:
    assert one.merged(one) == one
    assert one.merged(two) == two.merged(one)
    assert one.merged(two).merged(three) == one.merged(two.merged(three))
    assert one.merged(two).merged(two) == one.merged(two)


@QUICKLY
@given(tallies(), tallies())
def test_the_merge_only_ever_grows(one: Tally, two: Tally) -> None:
    both = one.merged(two)
    assert both.key == max(one.key, two.key)
    for each in (one, two):
        if each.key == both.key:
            assert both.has & each.has == each.has and both.behind & both.has == 0
            assert both.low <= each.low and both.high >= each.high


def test_a_member_that_has_it_goes_before_its_word_that_it_has_not() -> None:
    tally = Tally(2, 1, 0, 0).marked_behind(3)
    assert tally.behind == bit(3)
    assert tally.marked(3, 9).behind == 0
    assert tally.marked(3, 9).merged(tally) == tally.marked(3, 9)


@QUICKLY
@given(st.sets(st.integers(0, 3 * PIECE - 1), max_size=40))
def test_pieces_hold_what_the_whole_does(held: set[int]) -> None:
    bits = sum(bit(each) for each in held)
    tally = Tally(1, 1, 0, 0, 1, 1, bits)
    assert sum(unpacked(tally.piece(number)[0], number) for number in range(3)) == bits
    assert members(bits, 10**6) == sorted(held)
    assert members(bits, 5) == sorted(held)[:5]


# Who sets whose bit


EVENTS = st.lists(
    st.tuples(st.sampled_from("publish cut heal kill start run lose".split()), st.integers(0, SIZE - 1)),
    max_size=25,
)


@how(max_examples=60, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(EVENTS, st.integers(0, 1_000))
def test_nobody_is_ever_said_to_have_what_it_never_had(events: list[tuple[str, int]], seed: int) -> None:
    tier = VersionedTier(SIZE, seed, is_membership_on=False)
    had = {number: {1} for number in range(SIZE)}
    newest = 1

    def check() -> None:
        for number, own in tier.processes.items():
            assert len(own) == 1
            had[number].add(tier.versioned(number).rollout.version)
        for each in tier.everyone:
            tally = each.rollout.tally
            claimed = members(tally.has, SIZE)
            assert all(tally.version in had[member] for member in claimed), (tally, had)
            assert (each.number in claimed) == (each.rollout.version == tally.version) or (
                each.rollout.version != tally.version
            )
            assert tally.version >= each.rollout.version

    for what, number in events:
        match what:
            case "publish":
                newest += 1
                tier.files[number] = File.of(newest)
                if number in tier.processes:
                    tier.versioned(number).read()
            case "cut":
                tier.is_cut = lambda source, target, alone=number: alone in (source, target)  # type: ignore[misc]
            case "heal":
                tier.is_cut, tier.loss = lambda source, target: False, 0.0
            case "lose":
                tier.loss = 0.3
            case "kill":
                tier.kill(number)
            case "start" if number not in tier.processes:
                tier.start(number)
        tier.run(0.3)
        check()
    tier.is_cut, tier.loss = lambda source, target: False, 0.0
    for number in range(SIZE):
        tier.files[number] = File.of(newest)
        if number not in tier.processes:
            tier.start(number)
    for number in range(SIZE):
        tier.versioned(number).read()
    tier.run(30.0)
    check()
    assert tier.in_force(newest)
    assert all(tier.answer(number).everywhere for number in range(SIZE))


# Datagrams


GREATEST = Tally(
    LAST_VERSION,
    LAST_WAVE,
    MAX_MEMBERS - 1,
    -(10**12),
    0xFFFF_FFFE,
    0xFFFF_FFFF,
    (1 << MAX_MEMBERS) - 1,
    (1 << MAX_MEMBERS) - 1,
)


def test_the_longest_datagram_fits() -> None:
    payload = write(0xFFFF_FFFF, MAX_MEMBERS - 1, Kind.ASK, GREATEST, (MAX_MEMBERS - 1) // PIECE - 1, 0)
    assert 200 < len(payload) <= MAX_DATAGRAM_BYTES
    given = read(payload, 0xFFFF_FFFF, MAX_MEMBERS - 1)
    assert given.age == MOST_AGE and len(given.has) == PIECE // 8


@QUICKLY
@given(tallies(), st.sampled_from(list(Kind)))
def test_what_is_written_is_read(tally: Tally, kind: Kind) -> None:
    payload = write(TIER, 3, kind, tally, 0, 1_000_000)
    assert is_exchange(payload)
    given = read(payload, TIER, 3)
    assert given.kind is kind
    told = given.tally(1_000_000)
    assert told.is_same(tally) and abs(told.began - tally.began) <= 100_000


def test_membership_and_the_version_before_drop_it_as_another_version() -> None:
    payload = write(TIER, 1, Kind.ASK, Tally(1, 1, 1, 0), 0, 0)
    with pytest.raises(InvalidDatagram, match="another version"):
        message.decode(payload, TIER, 1)
    own = message.Message(1, TIER, 1, 7, message.MessageKind.PING, 0, -1, 0, 0, b"", [])
    assert not is_exchange(message.encode(own))
    assert not is_exchange(b"") and not is_exchange(b"\x9d")


def fields(**changes: object) -> bytes:
    good = msgspec.to_builtins(Exchange(2, TIER, 1, Kind.TELL, 7, 1, 0, 1, 5, 5, 0, b"\x02", b""))
    names = Exchange.__struct_fields__
    raw: list[object] = [*good[:-2], b"\x02", b""]
    for key, value in changes.items():
        raw[names.index(key)] = value
    return msgspec.msgpack.encode(raw)


@pytest.mark.parametrize(
    ("payload", "reason"),
    [
        (b"", "malformed"),
        (b"\x9d\x02", "malformed"),
        (fields() + b"\0", "malformed"),
        (fields(format=3), "malformed"),
        (fields(tier=TIER ^ 1), "another tier"),
        (fields(sender=2), "another's number"),
        (fields(sender=-1), "malformed"),
        (fields(kind=2), "malformed"),
        (fields(version=-1), "malformed"),
        (fields(version=LAST_VERSION + 1), "malformed"),
        (fields(version=7.0), "malformed"),
        (fields(wave=0), "malformed"),
        (fields(wave=LAST_WAVE + 1), "malformed"),
        (fields(age=MOST_AGE + 1), "malformed"),
        (fields(by=MAX_MEMBERS), "malformed"),
        (fields(low=6, high=5), "malformed"),
        (fields(piece=82), "malformed"),
        (fields(has=bytes(101)), "malformed"),
        (fields(has=b"\x02\0"), "malformed"),
        (fields(behind=b"\0"), "malformed"),
        (fields(has="text"), "malformed"),
        (msgspec.msgpack.encode([2, TIER, 1]), "malformed"),
        (msgspec.msgpack.encode([*range(14)]), "malformed"),
        (b"\x91" * 257, "too long"),
    ],
    ids=repr,
)
def test_what_is_not_of_this_form_is_dropped_whole(payload: bytes, reason: str) -> None:
    rollout, before = a_member()
    assert rollout.heard(0, 1, payload) == []
    assert rollout.dropped == {reason: 1} and rollout.tally == before


def a_member() -> tuple[Rollout, Tally]:
    rollout = Rollout(0, "a", MemberTable(SIZE, 0), RolloutSettings(), random.Random(1), 0, 1, 5)
    rollout.start(0)
    return rollout, rollout.tally


@pytest.mark.parametrize("sender", [-1, 0, SIZE, 70_000])
def test_nobody_but_another_member_is_heard(sender: int) -> None:
    rollout, before = a_member()
    assert rollout.heard(0, sender, fields()) == []
    assert rollout.dropped == {"a stranger": 1} and rollout.tally == before


PAYLOADS = st.one_of(
    st.binary(max_size=300),
    st.binary(max_size=40).map(lambda tail: b"\x9d\x02" + tail),
    st.tuples(tallies(versions=9, waves=9), st.sampled_from(list(Kind)), st.integers(0, 82)).map(
        lambda given: write(TIER, 1, given[1], given[0], given[2], 0)
    ),
    st.tuples(st.integers(0, 40), st.integers(0, 255)).map(
        lambda given: bytes([*fields()[: given[0]], given[1], *fields()[given[0] + 1 :]])
    ),
)


@how(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, SIZE), PAYLOADS, st.integers(0, 3_000_000)), max_size=30))
def test_whatever_comes_there_is_no_exception_and_no_growth(rows: list[tuple[int, bytes, int]]) -> None:
    rollout, _ = a_member()
    now = 0
    for sender, payload, later in rows:
        now += later
        before, dropped = rollout.tally, rollout.dropped.total()
        out = rollout.heard(now, sender, payload)
        if rollout.dropped.total() > dropped and not out:
            assert rollout.tally == before
        assert len(rollout.dropped) <= 6 and rollout.version == 1
        out += rollout.tick(now)
        assert len(out) <= 16
        assert all(len(each.payload) <= MAX_DATAGRAM_BYTES for each in out if isinstance(each, SendDatagram))
        assert rollout.tally.has < 1 << MAX_MEMBERS
        assert rollout.answer(now).asked == SIZE


def test_a_wave_that_began_later_here_than_there_is_as_old_as_it_is_there() -> None:
    tally = Tally(1, 1, 0, 5_000_000)
    assert tally.merged(replace(tally, began=1_000_000)).began == 1_000_000
