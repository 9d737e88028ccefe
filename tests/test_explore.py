"""Membership in every order of events among three members, and on datagrams that make no sense."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sidecar.cluster.actions import SendDatagram
from sidecar.cluster.anti_entropy import sketch
from sidecar.cluster.limits import MAX_DATAGRAM_BYTES
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.membership import Membership
from sidecar.cluster.message import (
    MAX_SKETCH_MEMBERS,
    MembershipUpdate,
    MemberState,
    Message,
    MessageKind,
    cluster_id,
)
from sidecar.cluster.refutation import Refutation
from sidecar.cluster.settings import MembershipSettings
from testbed.cluster_simulation.explore import Broken, World, explore

SIZE = 4
PACK = msgspec.msgpack.encode


def wandered(seeds: int) -> None:
    """Long runs of steps by chance, each healed in the end."""
    rng = random.Random(5)
    for _ in range(seeds):
        world = World(rng.randrange(1_000))
        for _ in range(120):
            world.step(*rng.choice(list(world.steps(most_faults=6))))
        world.heal()


def test_every_order_of_events_keeps_what_is_promised_and_heals() -> None:
    found = explore(depth=3, most_faults=2, heal_every=5)
    assert found.states > 1_000 and found.healed > 200
    assert found.longest_heal_us <= 120_000_000


def test_long_runs_of_chance_keep_it_too() -> None:
    wandered(300)


def test_a_life_that_came_back_would_be_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        MembershipUpdate,
        "precedence",
        property(lambda own: (own.incarnation, 0, own.refutations, -own.state)),
    )
    with pytest.raises(Broken):
        wandered(300)


def test_a_member_that_does_not_speak_for_itself_would_be_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Refutation, "local_update_received", lambda self, now, update: None)
    with pytest.raises(Broken):
        wandered(100)


# Datagrams

numbers = st.one_of(st.integers(-2, 6), st.integers(-(1 << 40), 1 << 40), st.sampled_from([2**32 - 1, 2**16]))
values: st.SearchStrategy[Any] = st.recursive(
    st.one_of(numbers, st.binary(max_size=8), st.text(max_size=4), st.none(), st.floats(), st.booleans()),
    lambda inner: st.lists(inner, max_size=5) | st.dictionaries(st.text(max_size=2), inner, max_size=2),
    max_leaves=12,
)
claims = st.tuples(st.integers(0, 5), st.integers(0, 20), st.integers(0, 40), st.integers(0, 5))
near = st.tuples(
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
    st.lists(claims, max_size=8),
).map(list)


def member() -> Membership:
    own = Membership(0, SIZE, "a", MembershipSettings(), random.Random(1), 0, 1.8e9)
    own.start(0)
    return own


@settings(max_examples=300, deadline=None)
@given(st.lists(st.one_of(st.binary(max_size=300), values.map(PACK), near.map(PACK)), max_size=12))
def test_whatever_comes_there_is_no_exception_no_growth_and_nothing_changes_by_what_is_unfit(
    payloads: list[bytes],
) -> None:
    own, now = member(), 0
    for payload in payloads:
        now += 50_000
        before, dropped = [each.update for each in own.table.records], own.dropped.total()
        out = own.datagram_received(now, 1, payload)
        if not out:
            assert own.dropped.total() == dropped + 1
            assert [each.update for each in own.table.records] == before
        assert len(own.table) == SIZE and len(own.dropped) <= 8
        assert all(len(each.payload) <= MAX_DATAGRAM_BYTES for each in out if isinstance(each, SendDatagram))
        own.tick(now + 10_000)


@settings(max_examples=300, deadline=None)
@given(st.lists(claims, max_size=12), st.randoms(use_true_random=False))
def test_claims_taken_in_any_order_and_number_give_the_same_table(
    given_claims: list[tuple[int, int, int, int]], rng: random.Random
) -> None:
    made = [MembershipUpdate(*each) for each in given_claims]
    shuffled = [*made, *made]
    rng.shuffle(shuffled)
    tables = MemberTable(6, 0), MemberTable(6, 0)
    for table, order in zip(tables, (made, shuffled), strict=True):
        for claim in order:
            table.apply(claim, 1)
    one, other = tables
    assert one.digest == other.digest
    assert [each.update.precedence for each in one.records] == [
        each.update.precedence for each in other.records
    ]


def differing_from(one: MemberTable, other: MemberTable, first: int, salt: int) -> list[MembershipUpdate]:
    """What `other` would tell `one` after a ping with a sketch of one piece of its table."""
    sent = sketch(one.updates(first, MAX_SKETCH_MEMBERS), salt)
    return other.updates_differing_from(first, salt, sent)


def test_a_sketch_names_just_what_differs() -> None:
    one, other = MemberTable(300, 0), MemberTable(300, 0)
    for number in range(300):
        one.apply(MembershipUpdate.create(number, 5, MemberState.PRESENT, 0, number), 1)
        other.apply(
            MembershipUpdate.create(number, 5 + (number in (3, 7, 222)), MemberState.PRESENT, 0, number), 1
        )
    missed = set()
    for salt in range(20):  # one in sixteen is equal by chance, but not each time
        named = {each.member for each in differing_from(one, other, 0, salt)}
        assert named <= {3, 7}
        missed |= named
    assert missed == {3, 7}
    later = [each.member for salt in range(20) for each in differing_from(one, other, 200, salt)]
    assert set(later) == {222}


def test_a_message_is_read_as_it_was_written() -> None:
    claim = MembershipUpdate.create(3, 77, MemberState.SUSPECTED, 9, 2)
    assert (claim.state, claim.refutations) == (MemberState.SUSPECTED, 9)
    message = Message(1, 2, 3, 4, MessageKind.PING, 5, -1, 6, 7, b"ab", [claim])
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=Message) == message
