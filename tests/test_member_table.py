"""The member table: merging updates in any order, and finding differences by sketches."""

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
def test_table_does_not_depend_on_order_or_repetition_of_updates(
    update_fields: list[tuple[int, int, int, int]], rng: random.Random
) -> None:
    updates = [MembershipUpdate(*fields) for fields in update_fields]
    shuffled = [*updates, *updates]
    rng.shuffle(shuffled)
    tables = MemberTable(6, 0), MemberTable(6, 0)
    for table, sequence in zip(tables, (updates, shuffled), strict=True):
        for update in sequence:
            table.apply(update, 1)
    one, other = tables
    assert one.digest == other.digest
    assert [record.update.precedence for record in one.records] == [
        record.update.precedence for record in other.records
    ]


def differing_from(one: MemberTable, other: MemberTable, first: int, salt: int) -> list[MembershipUpdate]:
    """Return the updates with which `other` answers a ping with a sketch of one section of `one`."""
    sketch_bytes = sketch(one.updates(first, MAX_SKETCH_MEMBERS), salt)
    return other.updates_differing_from(first, salt, sketch_bytes)


@pytest.mark.parametrize(("first", "differing"), [(0, {3, 7}), (200, {222})])
def test_sketch_finds_exactly_the_differing_members(first: int, differing: set[int]) -> None:
    one, other = MemberTable(300, 0), MemberTable(300, 0)
    for number in range(300):
        incarnation = 5 + (number in (3, 7, 222))
        one.apply(MembershipUpdate.create(number, 5, MemberState.PRESENT, 0, number), 1)
        other.apply(MembershipUpdate.create(number, incarnation, MemberState.PRESENT, 0, number), 1)
    # With one salt, one in sixteen differing members has equal sketch bits by chance, so several are used.
    detected = {update.member for salt in range(20) for update in differing_from(one, other, first, salt)}
    assert detected == differing
