"""Membership in every order of events among three members, and on datagrams that make no sense."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sidecar.cluster.membership import Membership
from sidecar.cluster.message import MOST_BYTES, Claim, Kind, Message, State, tier_number
from sidecar.cluster.settings import MembershipSettings
from sidecar.cluster.table import Table
from sidecar.cluster.view import Datagram
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
    monkeypatch.setattr(Claim, "key", property(lambda self: (self.life, 0, self.mark >> 2, -(self.mark & 3))))
    with pytest.raises(Broken):
        wandered(300)


def test_a_member_that_does_not_speak_for_itself_would_be_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Membership, "_hear_of_oneself", lambda self, now, claim: None)
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
    st.just(tier_number("a")),
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
        before, dropped = [each.claim for each in own.table.members], own.dropped.total()
        out = own.heard(now, 1, payload)
        if not out:
            assert own.dropped.total() == dropped + 1
            assert [each.claim for each in own.table.members] == before
        assert len(own.table) == SIZE and len(own.dropped) <= 8
        assert all(len(each.payload) <= MOST_BYTES for each in out if isinstance(each, Datagram))
        own.tick(now + 10_000)


@settings(max_examples=300, deadline=None)
@given(st.lists(claims, max_size=12), st.randoms(use_true_random=False))
def test_claims_taken_in_any_order_and_number_give_the_same_table(
    given_claims: list[tuple[int, int, int, int]], rng: random.Random
) -> None:
    made = [Claim(*each) for each in given_claims]
    shuffled = [*made, *made]
    rng.shuffle(shuffled)
    tables = Table(6, 0), Table(6, 0)
    for table, order in zip(tables, (made, shuffled), strict=True):
        for claim in order:
            table.take(claim, 1)
    one, other = tables
    assert one.digest == other.digest
    assert [each.claim.key for each in one.members] == [each.claim.key for each in other.members]


def test_a_sketch_names_just_what_differs() -> None:
    one, other = Table(300, 0), Table(300, 0)
    for number in range(300):
        one.take(Claim.of(number, 5, State.PRESENT, 0, number), 1)
        other.take(Claim.of(number, 5 + (number in (3, 7, 222)), State.PRESENT, 0, number), 1)
    missed = set()
    for salt in range(20):  # one in sixteen is equal by chance, but not each time
        named = {each.member for each in other.differing(0, salt, one.sketch(0, salt))}
        assert named <= {3, 7}
        missed |= named
    assert missed == {3, 7}
    later = [each.member for salt in range(20) for each in other.differing(200, salt, one.sketch(200, salt))]
    assert set(later) == {222}


def test_a_message_is_read_as_it_was_written() -> None:
    claim = Claim.of(3, 77, State.SUSPECTED, 9, 2)
    assert (claim.state, claim.round) == (State.SUSPECTED, 9)
    message = Message(1, 2, 3, 4, Kind.ASK, 5, -1, 6, 7, b"ab", [claim])
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=Message) == message
