"""The table of members: merging in any order, and sketches of what differs."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sidecar.cluster.anti_entropy import sketch
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.message import MAX_SKETCH_MEMBERS, MembershipUpdate, MemberState

UPDATE_FIELDS = st.tuples(st.integers(0, 5), st.integers(0, 20), st.integers(0, 40), st.integers(0, 5))


@settings(max_examples=300, deadline=None)
@given(st.lists(UPDATE_FIELDS, max_size=12), st.randoms(use_true_random=False))
def test_updates_in_any_order_and_number_give_same_table(
    given_updates: list[tuple[int, int, int, int]], rng: random.Random
) -> None:
    made = [MembershipUpdate(*each) for each in given_updates]
    shuffled = [*made, *made]
    rng.shuffle(shuffled)
    tables = MemberTable(6, 0), MemberTable(6, 0)
    for table, order in zip(tables, (made, shuffled), strict=True):
        for update in order:
            table.apply(update, 1)
    one, other = tables
    assert one.digest == other.digest
    assert [each.update.precedence for each in one.records] == [
        each.update.precedence for each in other.records
    ]


def differing_from(one: MemberTable, other: MemberTable, first: int, salt: int) -> list[MembershipUpdate]:
    """What `other` would tell `one` after a ping with a sketch of one piece of its table."""
    sent = sketch(one.updates(first, MAX_SKETCH_MEMBERS), salt)
    return other.updates_differing_from(first, salt, sent)


@pytest.mark.parametrize(("first", "differing"), [(0, {3, 7}), (200, {222})])
def test_sketch_finds_exactly_the_differing_members(first: int, differing: set[int]) -> None:
    one, other = MemberTable(300, 0), MemberTable(300, 0)
    for number in range(300):
        incarnation = 5 + (number in (3, 7, 222))
        one.apply(MembershipUpdate.create(number, 5, MemberState.PRESENT, 0, number), 1)
        other.apply(MembershipUpdate.create(number, incarnation, MemberState.PRESENT, 0, number), 1)
    # One in sixteen is equal by chance, but not with every salt.
    found = {update.member for salt in range(20) for update in differing_from(one, other, first, salt)}
    assert found == differing
