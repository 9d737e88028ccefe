"""Whether a listing is news: one owner, whatever calls have crossed."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st
from loopback import endpoint_entry

from balancer.events import EndpointState
from sidecar.discovery.endpoint_list import EndpointList, parse_endpoint_list
from sidecar.discovery.endpoint_list_tracker import EndpointListTracker, InconsistentChangesError

ADDRESS = "127.0.0.1:80"
STARTED_MS = 1_700_000_000_000


def listing(version: int, *servers: dict[str, Any], full: bool = True) -> EndpointList:
    return parse_endpoint_list({"version": version, "full": full, "servers": list(servers)})


def states(heard: EndpointList | None) -> dict[str, EndpointState]:
    assert heard is not None
    return {each.entry.server: each.entry.state for each in heard.endpoints}


def told_leaving() -> EndpointListTracker:
    """A list in which `s` was told to be leaving, by a call that is over."""
    tracker = EndpointListTracker(listing(5, endpoint_entry("s", ADDRESS, started_ms=STARTED_MS)))
    leaving = endpoint_entry("s", ADDRESS, state="leaving", started_ms=STARTED_MS)
    assert tracker.accept(listing(9, leaving, full=False), tracker.begin_poll(), 5) is not None
    return tracker


def test_older_list_from_an_earlier_poll_is_not_accepted() -> None:
    tracker = EndpointListTracker(listing(5, endpoint_entry("s", ADDRESS)))
    fetch, watch = tracker.begin_poll(), tracker.begin_poll()
    assert (
        tracker.accept(listing(9, endpoint_entry("s", ADDRESS, state="leaving"), full=False), watch, 5)
        is not None
    )
    assert tracker.accept(listing(7, endpoint_entry("s", ADDRESS)), fetch, None) is None
    assert tracker.version == 9


def test_older_list_is_not_accepted_while_polls_succeed() -> None:
    tracker = told_leaving()
    assert tracker.accept(listing(7, endpoint_entry("s", ADDRESS)), tracker.begin_poll(), 9) is None
    assert (
        tracker.accept(listing(7, endpoint_entry("s", ADDRESS), full=False), tracker.begin_poll(), 9) is None
    )
    assert tracker.version == 9


def test_older_complete_list_after_a_failure_revives_no_draining_server() -> None:
    tracker = told_leaving()
    tracker.poll_failed()
    old = endpoint_entry("s", ADDRESS, started_ms=STARTED_MS)
    heard = tracker.accept(listing(2, old, endpoint_entry("t", ADDRESS)), tracker.begin_poll(), 9)
    assert states(heard) == {"s": EndpointState.DRAINING, "t": EndpointState.READY}
    assert tracker.version == 2
    # And a further list of that numbering is heard as it is.
    assert states(tracker.accept(listing(3, old, full=False), tracker.begin_poll(), 2)) == {
        "s": EndpointState.READY
    }


def test_gone_server_stays_gone_after_a_failure_unless_restarted() -> None:
    for again_ms, state in ((STARTED_MS, EndpointState.GONE), (STARTED_MS + 1, EndpointState.READY)):
        tracker = told_leaving()
        assert tracker.accept(listing(10), tracker.begin_poll(), 9) is not None
        tracker.poll_failed()
        heard = tracker.accept(
            listing(2, endpoint_entry("s", ADDRESS, started_ms=again_ms)), tracker.begin_poll(), 10
        )
        assert states(heard) == {"s": state}


def test_older_list_does_not_restore_an_older_start_time() -> None:
    tracker = EndpointListTracker(listing(5, endpoint_entry("s", ADDRESS, started_ms=STARTED_MS)))
    heard = tracker.accept(
        listing(2, endpoint_entry("s", ADDRESS, started_ms=STARTED_MS - 7)), tracker.begin_poll(), 5
    )
    assert heard is not None
    assert heard.endpoints[0].entry.started_at == STARTED_MS * 1_000


def test_inconsistent_changes_require_a_complete_list() -> None:
    tracker = told_leaving()
    assert tracker.after_version == 9
    tracker.poll_failed()
    with pytest.raises(InconsistentChangesError):
        tracker.accept(listing(2, endpoint_entry("s", ADDRESS), full=False), tracker.begin_poll(), 9)
    assert tracker.after_version is None and tracker.version == 9
    assert tracker.accept(listing(2), tracker.begin_poll(), None) is not None
    assert tracker.after_version == 2


def test_changes_to_a_list_no_longer_held_are_not_accepted() -> None:
    tracker = told_leaving()
    watch = tracker.begin_poll()
    tracker.poll_failed()
    assert tracker.accept(listing(2), tracker.begin_poll(), None) is not None
    assert tracker.accept(listing(11, endpoint_entry("s", ADDRESS), full=False), watch, 9) is None
    assert tracker.version == 2


def test_remembered_gone_servers_are_bounded() -> None:
    tracker = EndpointListTracker(listing(1))
    for number in range(3_000):
        tracker.accept(
            listing(2 * number + 2, endpoint_entry(f"s-{number}", ADDRESS)), tracker.begin_poll(), None
        )
    assert len(tracker._gone_servers) == 1_024 and len(tracker._entries) == 1


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
def test_draining_server_returns_only_by_a_newer_list_or_a_restart(
    answers: list[tuple[int, bool, str, int, str]],
) -> None:
    tracker = EndpointListTracker(listing(0))
    leaving_since: tuple[int, int] | None = None  # version and start of a server told to be leaving or gone
    before = tracker.begin_poll()
    for version, full, state, started_ms, course in answers:
        if course == "broken":
            tracker.poll_failed()
        began = before if course == "crossed" else tracker.begin_poll()
        before, held = tracker.begin_poll(), tracker.version
        given_list = listing(
            version, endpoint_entry("s", ADDRESS, state=state, started_ms=started_ms), full=full
        )
        try:
            heard = tracker.accept(given_list, began, held)
        except InconsistentChangesError:
            heard = None
        if heard is None:
            assert tracker.version == held
            continue
        (endpoint,) = heard.endpoints
        if endpoint.entry.state is not EndpointState.READY:
            leaving_since = (version, started_ms) if state != "active" else leaving_since
        elif leaving_since is not None and version < held:
            assert started_ms > leaving_since[1]
        if endpoint.entry.state is EndpointState.READY:
            leaving_since = None
