"""Names that others read or write stay: each on the list still occurs in the code that reads or writes it.

The list only changes when an interface does: clients, servers, operators' tools and older files depend on
these names, whatever the identifiers inside the code are called.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from outer_names import FROM_SCHEMAS, SEARCHED, listed, occurs

LISTED = listed()


def test_every_heading_of_the_list_is_checked() -> None:
    assert set(LISTED) == {*FROM_SCHEMAS, *SEARCHED}
    assert all(LISTED.values())


def test_no_name_is_listed_twice_under_a_heading() -> None:
    assert [heading for heading, names in LISTED.items() if len(set(names)) < len(names)] == []


@pytest.mark.parametrize("heading", sorted(FROM_SCHEMAS))
def test_the_names_that_follow_from_a_schema_are_those_listed(heading: str, tmp_path: Path) -> None:
    assert FROM_SCHEMAS[heading](tmp_path) == set(LISTED[heading])


@pytest.mark.parametrize("heading", sorted(SEARCHED))
def test_the_names_that_stand_in_the_code_still_occur(heading: str) -> None:
    assert [name for name in LISTED[heading] if not occurs(name, SEARCHED[heading])] == []
