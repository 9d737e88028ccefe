"""Membership datagrams: invalid ones change nothing, and sent ones stay within size and rate limits."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sidecar.cluster.actions import SendDatagram
from sidecar.cluster.limits import MAX_DATAGRAM_BYTES
from sidecar.cluster.membership import Membership
from sidecar.cluster.message import (
    DropReason,
    MembershipUpdate,
    MemberState,
    Message,
    MessageKind,
    cluster_id,
    encode,
)
from sidecar.cluster.settings import MembershipSettings
from testbed.cluster_simulation.virtual import VirtualCluster

CLUSTER = "a"
SIZE = 4
PACK = msgspec.msgpack.encode


def member_of_cluster_of_three() -> Membership:
    cluster = VirtualCluster(3, name=CLUSTER)
    cluster.run(5.0)
    return cluster.membership_of(0)


def encoded_ping(**changes: object) -> bytes:
    incarnation = 10
    ping = Message(1, cluster_id(CLUSTER), 1, incarnation, MessageKind.PING, 5, -1, 0, 0, b"", [])
    return encode(msgspec.structs.replace(ping, **changes))


@pytest.mark.parametrize(
    ("payload", "reason"),
    [
        pytest.param(encoded_ping()[:-3], DropReason.MALFORMED, id="truncated"),
        pytest.param(b"", DropReason.MALFORMED, id="empty"),
        pytest.param(b"\xff" * 40, DropReason.MALFORMED, id="garbage"),
        pytest.param(encoded_ping() + b"\0" * MAX_DATAGRAM_BYTES, DropReason.TOO_LONG, id="too long"),
        pytest.param(encoded_ping() + b"\0", DropReason.MALFORMED, id="trailing byte"),
        pytest.param(encoded_ping(sender=2), DropReason.WRONG_SENDER, id="number of another member"),
        pytest.param(
            encoded_ping(format_version=2), DropReason.OTHER_FORMAT_VERSION, id="newer format version"
        ),
        pytest.param(
            encoded_ping(format_version=0), DropReason.OTHER_FORMAT_VERSION, id="older format version"
        ),
        pytest.param(encoded_ping(cluster=cluster_id("b")), DropReason.OTHER_CLUSTER, id="other cluster"),
        pytest.param(
            encoded_ping(updates=[(2, 10, 1 << 30, 1)]), DropReason.MALFORMED, id="update of no such state"
        ),
        pytest.param(
            encoded_ping(updates=[(2, 0xFFFF_FFFF, 2, 1)]), DropReason.MALFORMED, id="last incarnation"
        ),
    ],
)
def test_invalid_datagram_is_counted_and_changes_nothing(payload: bytes, reason: DropReason) -> None:
    member = member_of_cluster_of_three()
    updates_before = [record.update for record in member.table.records]
    assert member.datagram_received(6_000_000, 1, payload) == []
    assert member.dropped == {reason: 1}
    assert [record.update for record in member.table.records] == updates_before


@pytest.mark.parametrize("sender", [-1, 0, 3, 70_000])
def test_datagram_of_unknown_sender_is_counted_and_dropped(sender: int) -> None:
    member = member_of_cluster_of_three()
    assert member.datagram_received(6_000_000, sender, encoded_ping()) == []
    assert member.dropped == {DropReason.UNKNOWN_SENDER: 1}


@pytest.mark.parametrize(
    ("reason", "metric"),
    [
        (DropReason.UNKNOWN_SENDER, "a stranger"),
        (DropReason.TOO_LONG, "too long"),
        (DropReason.MALFORMED, "malformed"),
        (DropReason.OTHER_FORMAT_VERSION, "another version"),
        (DropReason.OTHER_CLUSTER, "another tier"),
        (DropReason.WRONG_SENDER, "another's number"),
        (DropReason.UNKNOWN_MEMBER, "unknown member"),
        (DropReason.TOO_OLD, "too old"),
    ],
)
def test_drop_reason_keeps_its_key_in_the_metrics(reason: DropReason, metric: str) -> None:
    assert reason.value == metric


def test_update_about_unknown_member_is_counted_and_the_ping_acknowledged() -> None:
    member = member_of_cluster_of_three()
    updates = [MembershipUpdate.create(77, 10, MemberState.DEAD, 0, 1)]
    actions = member.datagram_received(6_000_000, 1, encoded_ping(updates=updates))
    assert member.dropped == {DropReason.UNKNOWN_MEMBER: 1} and len(member.table) == 3
    assert any(isinstance(action, SendDatagram) for action in actions)


def test_replies_to_a_flood_of_pings_are_rate_limited() -> None:
    cluster = VirtualCluster(3, name=CLUSTER)
    cluster.run(20.0)  # fills the token bucket
    member, now = cluster.membership_of(0), cluster.queue.now
    pings = [encoded_ping(sequence_number=number) for number in range(200)]
    actions = [action for ping in pings for action in member.datagram_received(now, 1, ping)]
    assert 10 <= len([action for action in actions if isinstance(action, SendDatagram)]) <= 30


def test_datagrams_stay_within_maximum_size() -> None:
    cluster = VirtualCluster(300, start=range(40))
    sizes: list[int] = []
    transmit = cluster.transmit

    def transmit_and_record_size(source: object, datagram: SendDatagram) -> None:
        sizes.append(len(datagram.payload))
        transmit(source, datagram)  # type: ignore[arg-type]

    cluster.transmit = transmit_and_record_size  # type: ignore[method-assign]
    cluster.run(40.0)
    assert max(sizes) > 200 and max(sizes) <= MAX_DATAGRAM_BYTES


# Random datagrams

NUMBERS = st.one_of(st.integers(-2, 6), st.integers(-(1 << 40), 1 << 40), st.sampled_from([2**32 - 1, 2**16]))
VALUES: st.SearchStrategy[Any] = st.recursive(
    st.one_of(NUMBERS, st.binary(max_size=8), st.text(max_size=4), st.none(), st.floats(), st.booleans()),
    lambda inner: st.lists(inner, max_size=5) | st.dictionaries(st.text(max_size=2), inner, max_size=2),
    max_leaves=12,
)
UPDATE_FIELDS = st.tuples(st.integers(0, 5), st.integers(0, 20), st.integers(0, 40), st.integers(0, 5))
NEARLY_VALID = st.tuples(
    st.just(1),
    st.just(cluster_id("a")),
    st.just(1),
    st.integers(1, 20),
    st.integers(0, 5),
    st.integers(0, 70_000),
    st.integers(-1, 5),
    st.integers(0, 2**32 - 1),
    st.integers(0, 5),
    st.binary(max_size=6),
    st.lists(UPDATE_FIELDS, max_size=8),
).map(list)


def member_of_cluster_of_four() -> Membership:
    member = Membership(0, SIZE, "a", MembershipSettings(), random.Random(1), 0, 1.8e9)
    member.start(0)
    return member


@settings(max_examples=300, deadline=None)
@given(st.lists(st.one_of(st.binary(max_size=300), VALUES.map(PACK), NEARLY_VALID.map(PACK)), max_size=12))
def test_arbitrary_datagrams_raise_no_error_and_keep_the_state_bounded(
    payloads: list[bytes],
) -> None:
    member, now = member_of_cluster_of_four(), 0
    for payload in payloads:
        now += 50_000
        updates_before = [record.update for record in member.table.records]
        dropped_before = member.dropped.total()
        actions = member.datagram_received(now, 1, payload)
        if not actions:
            assert member.dropped.total() == dropped_before + 1
            assert [record.update for record in member.table.records] == updates_before
        assert len(member.table) == SIZE and len(member.dropped) <= 8
        sent = [action.payload for action in actions if isinstance(action, SendDatagram)]
        assert all(len(datagram) <= MAX_DATAGRAM_BYTES for datagram in sent)
        member.tick(now + 10_000)


def test_decoding_restores_the_encoded_message() -> None:
    update = MembershipUpdate.create(3, 77, MemberState.SUSPECTED, 9, 2)
    assert (update.state, update.refutations) == (MemberState.SUSPECTED, 9)
    message = Message(1, 2, 3, 4, MessageKind.PING, 5, -1, 6, 7, b"ab", [update])
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=Message) == message
