"""Rollout datagrams: decoded strictly, limited in size, and harmless whatever they contain."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
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
FEW_EXAMPLES = hypothesis_settings(max_examples=150, deadline=None, derandomize=True)


LARGEST_ROUND = AggregationRound(
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
        LARGEST_ROUND,
        (MAX_MEMBERS - 1) // CHUNK_MEMBERS - 1,
        0,
    )
    assert 200 < len(payload) <= MAX_DATAGRAM_BYTES
    decoded = decode(payload, 0xFFFF_FFFF, MAX_MEMBERS - 1)
    assert decoded.round_age == MAX_ROUND_AGE and len(decoded.in_force) == CHUNK_MEMBERS // 8


@FEW_EXAMPLES
@given(rounds(), st.sampled_from(list(ExchangeKind)))
def test_decoding_restores_the_encoded_round(round_: AggregationRound, kind: ExchangeKind) -> None:
    payload = encode(CLUSTER, 3, kind, round_, 0, 1_000_000)
    assert is_rollout_message(payload)
    decoded = decode(payload, CLUSTER, 3)
    assert decoded.kind is kind
    restored = decoded.aggregation_round(1_000_000)
    assert restored.equals_ignoring_start(round_)
    assert abs(restored.started_at - round_.started_at) <= 100_000


def test_membership_drops_rollout_message_as_other_format_version() -> None:
    payload = encode(CLUSTER, 1, ExchangeKind.PUSH_PULL, AggregationRound(1, 1, 1, 0), 0, 0)
    with pytest.raises(InvalidDatagramError, match="another version"):
        message.decode(payload, CLUSTER, 1)
    ping = message.Message(1, CLUSTER, 1, 7, message.MessageKind.PING, 0, -1, 0, 0, b"", [])
    assert not is_rollout_message(message.encode(ping))
    assert not is_rollout_message(b"") and not is_rollout_message(b"\x9d")


def encoded_fields(**changes: object) -> bytes:
    """Encode a valid message with some fields replaced, also by values that `encode` would not allow."""
    valid = msgspec.to_builtins(
        RolloutMessage(2, CLUSTER, 1, ExchangeKind.PUSH, 7, 1, 0, 1, 5, 5, 0, b"\x02", b"")
    )
    names = RolloutMessage.__struct_fields__
    values: list[object] = [*valid[:-2], b"\x02", b""]
    for name, value in changes.items():
        values[names.index(name)] = value
    return msgspec.msgpack.encode(values)


@pytest.mark.parametrize(
    ("payload", "reason"),
    [
        (b"", DropReason.MALFORMED),
        (b"\x9d\x02", DropReason.MALFORMED),
        (encoded_fields() + b"\0", DropReason.MALFORMED),
        (encoded_fields(format_version=3), DropReason.MALFORMED),
        (encoded_fields(cluster=CLUSTER ^ 1), DropReason.OTHER_CLUSTER),
        (encoded_fields(sender=2), DropReason.WRONG_SENDER),
        (encoded_fields(sender=-1), DropReason.MALFORMED),
        (encoded_fields(kind=2), DropReason.MALFORMED),
        (encoded_fields(version=-1), DropReason.MALFORMED),
        (encoded_fields(version=MAX_CONFIGURATION_VERSION + 1), DropReason.MALFORMED),
        (encoded_fields(version=7.0), DropReason.MALFORMED),
        (encoded_fields(round_number=0), DropReason.MALFORMED),
        (encoded_fields(round_number=MAX_ROUND_NUMBER + 1), DropReason.MALFORMED),
        (encoded_fields(round_age=MAX_ROUND_AGE + 1), DropReason.MALFORMED),
        (encoded_fields(first_reported_by=MAX_MEMBERS), DropReason.MALFORMED),
        (encoded_fields(min_digest=6, max_digest=5), DropReason.MALFORMED),
        (encoded_fields(chunk=82), DropReason.MALFORMED),
        (encoded_fields(in_force=bytes(101)), DropReason.MALFORMED),
        (encoded_fields(in_force=b"\x02\0"), DropReason.MALFORMED),
        (encoded_fields(behind=b"\0"), DropReason.MALFORMED),
        (encoded_fields(in_force="text"), DropReason.MALFORMED),
        (msgspec.msgpack.encode([2, CLUSTER, 1]), DropReason.MALFORMED),
        (msgspec.msgpack.encode([*range(14)]), DropReason.MALFORMED),
        (b"\x91" * 257, DropReason.TOO_LONG),
    ],
    ids=repr,
)
def test_invalid_datagram_is_counted_and_changes_nothing(payload: bytes, reason: DropReason) -> None:
    rollout, initial_round = new_rollout()
    assert rollout.datagram_received(0, 1, payload) == []
    assert rollout.dropped == {reason: 1} and rollout.round == initial_round


def new_rollout() -> tuple[Rollout, AggregationRound]:
    rollout = Rollout(0, "a", MemberTable(SIZE, 0), RolloutSettings(), random.Random(1), 0, 1, 5)
    rollout.start(0)
    return rollout, rollout.round


@pytest.mark.parametrize("sender", [-1, 0, SIZE, 70_000])
def test_datagram_of_unknown_sender_is_counted_and_dropped(sender: int) -> None:
    rollout, initial_round = new_rollout()
    assert rollout.datagram_received(0, sender, encoded_fields()) == []
    assert rollout.dropped == {DropReason.UNKNOWN_SENDER: 1} and rollout.round == initial_round


def with_byte_replaced(payload: bytes, position: int, byte: int) -> bytes:
    return bytes([*payload[:position], byte, *payload[position + 1 :]])


PAYLOADS = st.one_of(
    st.binary(max_size=300),
    st.binary(max_size=40).map(lambda tail: b"\x9d\x02" + tail),
    st.tuples(
        rounds(max_version=9, max_number=9), st.sampled_from(list(ExchangeKind)), st.integers(0, 82)
    ).map(lambda drawn: encode(CLUSTER, 1, drawn[1], drawn[0], drawn[2], 0)),
    st.tuples(st.integers(0, 40), st.integers(0, 255)).map(
        lambda position_and_byte: with_byte_replaced(encoded_fields(), *position_and_byte)
    ),
)


@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, SIZE), PAYLOADS, st.integers(0, 3_000_000)), max_size=30))
def test_arbitrary_datagrams_raise_no_error_and_keep_the_state_bounded(
    datagrams: list[tuple[int, bytes, int]],
) -> None:
    rollout, _ = new_rollout()
    now = 0
    for sender, payload, elapsed_us in datagrams:
        now += elapsed_us
        round_before, dropped_before = rollout.round, rollout.dropped.total()
        actions = rollout.datagram_received(now, sender, payload)
        if rollout.dropped.total() > dropped_before and not actions:
            assert rollout.round == round_before
        assert len(rollout.dropped) <= 6 and rollout.version == 1
        actions += rollout.tick(now)
        assert len(actions) <= 16
        sent = [action.payload for action in actions if isinstance(action, SendDatagram)]
        assert all(len(datagram) <= MAX_DATAGRAM_BYTES for datagram in sent)
        assert rollout.round.in_force < 1 << MAX_MEMBERS
        assert rollout.status(now).required_count == SIZE
