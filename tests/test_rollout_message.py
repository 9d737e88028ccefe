"""Datagrams about configuration versions: decoded strictly, and bounded whatever comes."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st
from test_aggregation import rounds

from sidecar.cluster import message
from sidecar.cluster.actions import SendDatagram
from sidecar.cluster.aggregation import AggregationRound
from sidecar.cluster.limits import MAX_CONFIGURATION_VERSION, MAX_DATAGRAM_BYTES
from sidecar.cluster.member_set import CHUNK_MEMBERS
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.message import MAX_MEMBERS, DropReason, InvalidDatagramError, cluster_id
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

SIZE = 5
CLUSTER = cluster_id("a")
QUICKLY = how(max_examples=150, deadline=None, derandomize=True)


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


def test_longest_datagram_stays_within_maximum_size() -> None:
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
@given(rounds(), st.sampled_from(list(ExchangeKind)))
def test_encoded_round_is_decoded_alike(round_: AggregationRound, kind: ExchangeKind) -> None:
    payload = encode(CLUSTER, 3, kind, round_, 0, 1_000_000)
    assert is_rollout_message(payload)
    given = decode(payload, CLUSTER, 3)
    assert given.kind is kind
    told = given.aggregation_round(1_000_000)
    assert told.equals_ignoring_start(round_) and abs(told.started_at - round_.started_at) <= 100_000


def test_membership_drops_rollout_message_as_other_format_version() -> None:
    payload = encode(CLUSTER, 1, ExchangeKind.PUSH_PULL, AggregationRound(1, 1, 1, 0), 0, 0)
    with pytest.raises(InvalidDatagramError, match="another version"):
        message.decode(payload, CLUSTER, 1)
    own = message.Message(1, CLUSTER, 1, 7, message.MessageKind.PING, 0, -1, 0, 0, b"", [])
    assert not is_rollout_message(message.encode(own))
    assert not is_rollout_message(b"") and not is_rollout_message(b"\x9d")


def fields(**changes: object) -> bytes:
    good = msgspec.to_builtins(
        RolloutMessage(2, CLUSTER, 1, ExchangeKind.PUSH, 7, 1, 0, 1, 5, 5, 0, b"\x02", b"")
    )
    names = RolloutMessage.__struct_fields__
    raw: list[object] = [*good[:-2], b"\x02", b""]
    for key, value in changes.items():
        raw[names.index(key)] = value
    return msgspec.msgpack.encode(raw)


@pytest.mark.parametrize(
    ("payload", "reason"),
    [
        (b"", DropReason.MALFORMED),
        (b"\x9d\x02", DropReason.MALFORMED),
        (fields() + b"\0", DropReason.MALFORMED),
        (fields(format_version=3), DropReason.MALFORMED),
        (fields(cluster=CLUSTER ^ 1), DropReason.OTHER_CLUSTER),
        (fields(sender=2), DropReason.WRONG_SENDER),
        (fields(sender=-1), DropReason.MALFORMED),
        (fields(kind=2), DropReason.MALFORMED),
        (fields(version=-1), DropReason.MALFORMED),
        (fields(version=MAX_CONFIGURATION_VERSION + 1), DropReason.MALFORMED),
        (fields(version=7.0), DropReason.MALFORMED),
        (fields(round_number=0), DropReason.MALFORMED),
        (fields(round_number=MAX_ROUND_NUMBER + 1), DropReason.MALFORMED),
        (fields(round_age=MAX_ROUND_AGE + 1), DropReason.MALFORMED),
        (fields(first_reported_by=MAX_MEMBERS), DropReason.MALFORMED),
        (fields(min_digest=6, max_digest=5), DropReason.MALFORMED),
        (fields(chunk=82), DropReason.MALFORMED),
        (fields(in_force=bytes(101)), DropReason.MALFORMED),
        (fields(in_force=b"\x02\0"), DropReason.MALFORMED),
        (fields(behind=b"\0"), DropReason.MALFORMED),
        (fields(in_force="text"), DropReason.MALFORMED),
        (msgspec.msgpack.encode([2, CLUSTER, 1]), DropReason.MALFORMED),
        (msgspec.msgpack.encode([*range(14)]), DropReason.MALFORMED),
        (b"\x91" * 257, DropReason.TOO_LONG),
    ],
    ids=repr,
)
def test_invalid_datagram_is_counted_and_changes_nothing(payload: bytes, reason: DropReason) -> None:
    rollout, before = new_rollout()
    assert rollout.datagram_received(0, 1, payload) == []
    assert rollout.dropped == {reason: 1} and rollout.round == before


def new_rollout() -> tuple[Rollout, AggregationRound]:
    rollout = Rollout(0, "a", MemberTable(SIZE, 0), RolloutSettings(), random.Random(1), 0, 1, 5)
    rollout.start(0)
    return rollout, rollout.round


@pytest.mark.parametrize("sender", [-1, 0, SIZE, 70_000])
def test_datagram_of_unknown_sender_is_counted_and_dropped(sender: int) -> None:
    rollout, before = new_rollout()
    assert rollout.datagram_received(0, sender, fields()) == []
    assert rollout.dropped == {DropReason.UNKNOWN_SENDER: 1} and rollout.round == before


PAYLOADS = st.one_of(
    st.binary(max_size=300),
    st.binary(max_size=40).map(lambda tail: b"\x9d\x02" + tail),
    st.tuples(rounds(versions=9, waves=9), st.sampled_from(list(ExchangeKind)), st.integers(0, 82)).map(
        lambda given: encode(CLUSTER, 1, given[1], given[0], given[2], 0)
    ),
    st.tuples(st.integers(0, 40), st.integers(0, 255)).map(
        lambda given: bytes([*fields()[: given[0]], given[1], *fields()[given[0] + 1 :]])
    ),
)


@how(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, SIZE), PAYLOADS, st.integers(0, 3_000_000)), max_size=30))
def test_arbitrary_datagrams_raise_nothing_and_grow_nothing(rows: list[tuple[int, bytes, int]]) -> None:
    rollout, _ = new_rollout()
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
