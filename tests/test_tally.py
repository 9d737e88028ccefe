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
from sidecar.cluster.aggregation import NO_DIGESTS, AggregationRound
from sidecar.cluster.limits import MAX_CONFIGURATION_VERSION, MAX_DATAGRAM_BYTES
from sidecar.cluster.member_set import CHUNK_MEMBERS, decode_chunk, first_members, member_bit
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.message import MAX_MEMBERS, InvalidDatagram, cluster_id
from sidecar.cluster.rollout import Rollout
from sidecar.cluster.rollout_message import (
    MAX_ROUND_AGE,
    MAX_ROUND_NUMBER,
    ExchangeKind,
    RolloutMessage,
    decode,
    encode,
    is_rollout_message,
)
from sidecar.cluster.settings import RolloutSettings
from testbed.cluster_simulation.versions import File, VersionedCluster

SIZE = 5
TIER = cluster_id("a")
QUICKLY = how(max_examples=150, deadline=None, derandomize=True)


@st.composite
def tallies(draw: st.DrawFn, versions: int = 3, waves: int = 3) -> AggregationRound:
    low, high = draw(st.sampled_from([NO_DIGESTS, (4, 4), (4, 9), (7, 7)]))
    return AggregationRound(
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
def test_the_merge_is_idempotent_commutative_and_associative(
    one: AggregationRound, two: AggregationRound, three: AggregationRound
) -> None:
    assert one.merged_with(one) == one
    assert one.merged_with(two) == two.merged_with(one)
    assert one.merged_with(two).merged_with(three) == one.merged_with(two.merged_with(three))
    assert one.merged_with(two).merged_with(two) == one.merged_with(two)


@QUICKLY
@given(tallies(), tallies())
def test_the_merge_only_ever_grows(one: AggregationRound, two: AggregationRound) -> None:
    both = one.merged_with(two)
    assert both.key == max(one.key, two.key)
    for each in (one, two):
        if each.key == both.key:
            assert both.in_force & each.in_force == each.in_force and both.behind & both.in_force == 0
            assert both.min_digest <= each.min_digest and both.max_digest >= each.max_digest


def test_a_member_that_has_it_goes_before_its_word_that_it_has_not() -> None:
    tally = AggregationRound(2, 1, 0, 0).with_behind(3)
    assert tally.behind == member_bit(3)
    assert tally.with_in_force(3, 9).behind == 0
    assert tally.with_in_force(3, 9).merged_with(tally) == tally.with_in_force(3, 9)


@QUICKLY
@given(st.sets(st.integers(0, 3 * CHUNK_MEMBERS - 1), max_size=40))
def test_pieces_hold_what_the_whole_does(held: set[int]) -> None:
    bits = sum(member_bit(each) for each in held)
    tally = AggregationRound(1, 1, 0, 0, 1, 1, bits)
    assert sum(decode_chunk(tally.chunk(number)[0], number) for number in range(3)) == bits
    assert first_members(bits, 10**6) == sorted(held)
    assert first_members(bits, 5) == sorted(held)[:5]


# Who sets whose bit


EVENTS = st.lists(
    st.tuples(st.sampled_from("publish cut heal kill start run lose".split()), st.integers(0, SIZE - 1)),
    max_size=25,
)


@how(max_examples=60, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(EVENTS, st.integers(0, 1_000))
def test_nobody_is_ever_said_to_have_what_it_never_had(events: list[tuple[str, int]], seed: int) -> None:
    cluster = VersionedCluster(SIZE, seed, is_membership_on=False)
    had = {number: {1} for number in range(SIZE)}
    newest = 1

    def check() -> None:
        for number, own in cluster.processes.items():
            assert len(own) == 1
            had[number].add(cluster.versioned(number).rollout.version)
        for each in cluster.everyone:
            tally = each.rollout.round
            claimed = first_members(tally.in_force, SIZE)
            assert all(tally.version in had[member] for member in claimed), (tally, had)
            assert (each.number in claimed) == (each.rollout.version == tally.version) or (
                each.rollout.version != tally.version
            )
            assert tally.version >= each.rollout.version

    for what, number in events:
        match what:
            case "publish":
                newest += 1
                cluster.files[number] = File.of(newest)
                if number in cluster.processes:
                    cluster.versioned(number).read()
            case "cut":
                cluster.is_cut = lambda source, target, alone=number: alone in (source, target)  # type: ignore[misc]
            case "heal":
                cluster.is_cut, cluster.loss = lambda source, target: False, 0.0
            case "lose":
                cluster.loss = 0.3
            case "kill":
                cluster.kill(number)
            case "start" if number not in cluster.processes:
                cluster.start(number)
        cluster.run(0.3)
        check()
    cluster.is_cut, cluster.loss = lambda source, target: False, 0.0
    for number in range(SIZE):
        cluster.files[number] = File.of(newest)
        if number not in cluster.processes:
            cluster.start(number)
    for number in range(SIZE):
        cluster.versioned(number).read()
    cluster.run(30.0)
    check()
    assert cluster.in_force(newest)
    assert all(cluster.status(number).is_in_force_everywhere for number in range(SIZE))


# Datagrams


GREATEST = AggregationRound(
    MAX_CONFIGURATION_VERSION,
    MAX_ROUND_NUMBER,
    MAX_MEMBERS - 1,
    -(10**12),
    0xFFFF_FFFE,
    0xFFFF_FFFF,
    (1 << MAX_MEMBERS) - 1,
    (1 << MAX_MEMBERS) - 1,
)


def test_the_longest_datagram_fits() -> None:
    payload = encode(
        0xFFFF_FFFF,
        MAX_MEMBERS - 1,
        ExchangeKind.PUSH_PULL,
        GREATEST,
        (MAX_MEMBERS - 1) // CHUNK_MEMBERS - 1,
        0,
    )
    assert 200 < len(payload) <= MAX_DATAGRAM_BYTES
    given = decode(payload, 0xFFFF_FFFF, MAX_MEMBERS - 1)
    assert given.round_age == MAX_ROUND_AGE and len(given.in_force) == CHUNK_MEMBERS // 8


@QUICKLY
@given(tallies(), st.sampled_from(list(ExchangeKind)))
def test_what_is_written_is_read(tally: AggregationRound, kind: ExchangeKind) -> None:
    payload = encode(TIER, 3, kind, tally, 0, 1_000_000)
    assert is_rollout_message(payload)
    given = decode(payload, TIER, 3)
    assert given.kind is kind
    told = given.aggregation_round(1_000_000)
    assert told.says_same_as(tally) and abs(told.started_at - tally.started_at) <= 100_000


def test_membership_and_the_version_before_drop_it_as_another_version() -> None:
    payload = encode(TIER, 1, ExchangeKind.PUSH_PULL, AggregationRound(1, 1, 1, 0), 0, 0)
    with pytest.raises(InvalidDatagram, match="another version"):
        message.decode(payload, TIER, 1)
    own = message.Message(1, TIER, 1, 7, message.MessageKind.PING, 0, -1, 0, 0, b"", [])
    assert not is_rollout_message(message.encode(own))
    assert not is_rollout_message(b"") and not is_rollout_message(b"\x9d")


def fields(**changes: object) -> bytes:
    good = msgspec.to_builtins(
        RolloutMessage(2, TIER, 1, ExchangeKind.PUSH, 7, 1, 0, 1, 5, 5, 0, b"\x02", b"")
    )
    names = RolloutMessage.__struct_fields__
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
        (fields(format_version=3), "malformed"),
        (fields(cluster=TIER ^ 1), "another tier"),
        (fields(sender=2), "another's number"),
        (fields(sender=-1), "malformed"),
        (fields(kind=2), "malformed"),
        (fields(version=-1), "malformed"),
        (fields(version=MAX_CONFIGURATION_VERSION + 1), "malformed"),
        (fields(version=7.0), "malformed"),
        (fields(round_number=0), "malformed"),
        (fields(round_number=MAX_ROUND_NUMBER + 1), "malformed"),
        (fields(round_age=MAX_ROUND_AGE + 1), "malformed"),
        (fields(first_reported_by=MAX_MEMBERS), "malformed"),
        (fields(min_digest=6, max_digest=5), "malformed"),
        (fields(chunk=82), "malformed"),
        (fields(in_force=bytes(101)), "malformed"),
        (fields(in_force=b"\x02\0"), "malformed"),
        (fields(behind=b"\0"), "malformed"),
        (fields(in_force="text"), "malformed"),
        (msgspec.msgpack.encode([2, TIER, 1]), "malformed"),
        (msgspec.msgpack.encode([*range(14)]), "malformed"),
        (b"\x91" * 257, "too long"),
    ],
    ids=repr,
)
def test_what_is_not_of_this_form_is_dropped_whole(payload: bytes, reason: str) -> None:
    rollout, before = a_member()
    assert rollout.datagram_received(0, 1, payload) == []
    assert rollout.dropped == {reason: 1} and rollout.round == before


def a_member() -> tuple[Rollout, AggregationRound]:
    rollout = Rollout(0, "a", MemberTable(SIZE, 0), RolloutSettings(), random.Random(1), 0, 1, 5)
    rollout.start(0)
    return rollout, rollout.round


@pytest.mark.parametrize("sender", [-1, 0, SIZE, 70_000])
def test_nobody_but_another_member_is_heard(sender: int) -> None:
    rollout, before = a_member()
    assert rollout.datagram_received(0, sender, fields()) == []
    assert rollout.dropped == {"a stranger": 1} and rollout.round == before


PAYLOADS = st.one_of(
    st.binary(max_size=300),
    st.binary(max_size=40).map(lambda tail: b"\x9d\x02" + tail),
    st.tuples(tallies(versions=9, waves=9), st.sampled_from(list(ExchangeKind)), st.integers(0, 82)).map(
        lambda given: encode(TIER, 1, given[1], given[0], given[2], 0)
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
        before, dropped = rollout.round, rollout.dropped.total()
        out = rollout.datagram_received(now, sender, payload)
        if rollout.dropped.total() > dropped and not out:
            assert rollout.round == before
        assert len(rollout.dropped) <= 6 and rollout.version == 1
        out += rollout.tick(now)
        assert len(out) <= 16
        assert all(len(each.payload) <= MAX_DATAGRAM_BYTES for each in out if isinstance(each, SendDatagram))
        assert rollout.round.in_force < 1 << MAX_MEMBERS
        assert rollout.status(now).required_count == SIZE


def test_a_wave_that_began_later_here_than_there_is_as_old_as_it_is_there() -> None:
    tally = AggregationRound(1, 1, 0, 5_000_000)
    assert tally.merged_with(replace(tally, started_at=1_000_000)).started_at == 1_000_000
