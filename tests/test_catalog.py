"""Whether a listing is news: one owner, whatever calls have crossed."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st
from loopback import line

from balancer.events import EndpointState
from sidecar.discovery.catalog import Catalog, Inconsistent, Listing, parse_listing

ADDRESS = "127.0.0.1:80"
STARTED_MS = 1_700_000_000_000


def listing(version: int, *servers: dict[str, Any], full: bool = True) -> Listing:
    return parse_listing({"version": version, "full": full, "servers": list(servers)})


def states(heard: Listing | None) -> dict[str, EndpointState]:
    assert heard is not None
    return {each.listed.server: each.listed.state for each in heard.entries}


def told_leaving() -> Catalog:
    """A list in which `s` was told to be leaving, by a call that is over."""
    catalog = Catalog(listing(5, line("s", ADDRESS, started_ms=STARTED_MS)))
    leaving = line("s", ADDRESS, state="leaving", started_ms=STARTED_MS)
    assert catalog.admit(listing(9, leaving, full=False), catalog.begin(), 5) is not None
    return catalog


def test_an_older_list_from_a_call_that_began_earlier_is_no_news() -> None:
    catalog = Catalog(listing(5, line("s", ADDRESS)))
    fetch, watch = catalog.begin(), catalog.begin()
    assert catalog.admit(listing(9, line("s", ADDRESS, state="leaving"), full=False), watch, 5) is not None
    assert catalog.admit(listing(7, line("s", ADDRESS)), fetch, None) is None
    assert catalog.version == 9


def test_an_older_list_is_no_news_while_calls_go_on_without_a_break() -> None:
    catalog = told_leaving()
    assert catalog.admit(listing(7, line("s", ADDRESS)), catalog.begin(), 9) is None
    assert catalog.admit(listing(7, line("s", ADDRESS), full=False), catalog.begin(), 9) is None
    assert catalog.version == 9


def test_after_a_break_a_whole_list_may_count_anew_but_brings_no_leaving_server_back() -> None:
    catalog = told_leaving()
    catalog.broken()
    old = line("s", ADDRESS, started_ms=STARTED_MS)
    heard = catalog.admit(listing(2, old, line("t", ADDRESS)), catalog.begin(), 9)
    assert states(heard) == {"s": EndpointState.DRAINING, "t": EndpointState.READY}
    assert catalog.version == 2
    # And a further list of that numbering is heard as it is.
    assert states(catalog.admit(listing(3, old, full=False), catalog.begin(), 2)) == {
        "s": EndpointState.READY
    }


def test_after_a_break_a_server_that_left_stays_gone_unless_it_started_since() -> None:
    for again_ms, state in ((STARTED_MS, EndpointState.GONE), (STARTED_MS + 1, EndpointState.READY)):
        catalog = told_leaving()
        assert catalog.admit(listing(10), catalog.begin(), 9) is not None
        catalog.broken()
        heard = catalog.admit(listing(2, line("s", ADDRESS, started_ms=again_ms)), catalog.begin(), 10)
        assert states(heard) == {"s": state}


def test_an_older_list_revives_no_old_start() -> None:
    catalog = Catalog(listing(5, line("s", ADDRESS, started_ms=STARTED_MS)))
    heard = catalog.admit(listing(2, line("s", ADDRESS, started_ms=STARTED_MS - 7)), catalog.begin(), 5)
    assert heard is not None
    assert heard.entries[0].listed.started_at == STARTED_MS * 1_000


def test_changes_that_count_anew_make_the_whole_list_wanted() -> None:
    catalog = told_leaving()
    assert catalog.after == 9
    catalog.broken()
    with pytest.raises(Inconsistent):
        catalog.admit(listing(2, line("s", ADDRESS), full=False), catalog.begin(), 9)
    assert catalog.after is None and catalog.version == 9
    assert catalog.admit(listing(2), catalog.begin(), None) is not None
    assert catalog.after == 2


def test_changes_to_a_list_that_is_held_no_more_are_no_news() -> None:
    catalog = told_leaving()
    watch = catalog.begin()
    catalog.broken()
    assert catalog.admit(listing(2), catalog.begin(), None) is not None
    assert catalog.admit(listing(11, line("s", ADDRESS), full=False), watch, 9) is None
    assert catalog.version == 2


def test_what_is_remembered_of_servers_that_left_is_bounded() -> None:
    catalog = Catalog(listing(1))
    for number in range(3_000):
        catalog.admit(listing(2 * number + 2, line(f"s-{number}", ADDRESS)), catalog.begin(), None)
    assert len(catalog._left) == 1_024 and len(catalog._servers) == 1


@how(max_examples=500, deadline=None, derandomize=True, database=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 12),
            st.booleans(),
            st.sampled_from(["active", "leaving", "left"]),
            st.sampled_from([0, 1, 2]),
            st.sampled_from(["in turn", "crossed", "broken"]),
        ),
        max_size=30,
    )
)
def test_whatever_crosses_a_server_told_to_leave_comes_back_by_news_or_a_new_start_alone(
    answers: list[tuple[int, bool, str, int, str]],
) -> None:
    catalog = Catalog(listing(0))
    leaving_since: tuple[int, int] | None = None  # version and start of a server told to be leaving or gone
    before = catalog.begin()
    for version, full, state, started_ms, course in answers:
        if course == "broken":
            catalog.broken()
        began = before if course == "crossed" else catalog.begin()
        before, held = catalog.begin(), catalog.version
        given_list = listing(version, line("s", ADDRESS, state=state, started_ms=started_ms), full=full)
        try:
            heard = catalog.admit(given_list, began, held)
        except Inconsistent:
            heard = None
        if heard is None:
            assert catalog.version == held
            continue
        (entry,) = heard.entries
        if entry.listed.state is not EndpointState.READY:
            leaving_since = (version, started_ms) if state != "active" else leaving_since
        elif leaving_since is not None and version < held:
            assert started_ms > leaving_since[1]
        if entry.listed.state is EndpointState.READY:
            leaving_since = None
