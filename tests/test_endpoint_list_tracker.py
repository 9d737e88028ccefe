"""Which endpoint lists are accepted as newer, whatever the order of responses to overlapping polls."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback import endpoint_entry

from balancer.events import EndpointState
from sidecar.discovery.endpoint_list import EndpointList, parse_endpoint_list
from sidecar.discovery.endpoint_list_tracker import EndpointListTracker, InconsistentChangesError

ADDRESS = "127.0.0.1:80"
STARTED_MS = 1_700_000_000_000


def endpoint_list(version: int, *servers: dict[str, Any], is_complete: bool = True) -> EndpointList:
    return parse_endpoint_list({"version": version, "full": is_complete, "servers": list(servers)})


def states(accepted: EndpointList | None) -> dict[str, EndpointState]:
    assert accepted is not None
    return {endpoint.entry.server: endpoint.entry.state for endpoint in accepted.endpoints}


def tracker_with_draining_server() -> EndpointListTracker:
    """Return a tracker that accepted a list of version 9, in which server `s` is draining."""
    tracker = EndpointListTracker(endpoint_list(5, endpoint_entry("s", ADDRESS, started_ms=STARTED_MS)))
    leaving = endpoint_entry("s", ADDRESS, state="leaving", started_ms=STARTED_MS)
    assert tracker.accept(endpoint_list(9, leaving, is_complete=False), tracker.begin_poll(), 5) is not None
    return tracker


def test_older_list_from_an_earlier_poll_is_not_accepted() -> None:
    tracker = EndpointListTracker(endpoint_list(5, endpoint_entry("s", ADDRESS)))
    poll, watch_poll = tracker.begin_poll(), tracker.begin_poll()
    assert (
        tracker.accept(
            endpoint_list(9, endpoint_entry("s", ADDRESS, state="leaving"), is_complete=False), watch_poll, 5
        )
        is not None
    )
    assert tracker.accept(endpoint_list(7, endpoint_entry("s", ADDRESS)), poll, None) is None
    assert tracker.version == 9


def test_older_list_is_not_accepted_while_polls_succeed() -> None:
    tracker = tracker_with_draining_server()
    assert tracker.accept(endpoint_list(7, endpoint_entry("s", ADDRESS)), tracker.begin_poll(), 9) is None
    assert (
        tracker.accept(
            endpoint_list(7, endpoint_entry("s", ADDRESS), is_complete=False), tracker.begin_poll(), 9
        )
        is None
    )
    assert tracker.version == 9


def test_older_complete_list_after_a_failure_keeps_a_draining_server_draining() -> None:
    tracker = tracker_with_draining_server()
    tracker.poll_failed()
    old_entry = endpoint_entry("s", ADDRESS, started_ms=STARTED_MS)
    accepted = tracker.accept(
        endpoint_list(2, old_entry, endpoint_entry("t", ADDRESS)), tracker.begin_poll(), 9
    )
    assert states(accepted) == {"s": EndpointState.DRAINING, "t": EndpointState.READY}
    assert tracker.version == 2
    # Later lists of the restarted discovery service are accepted unchanged.
    assert states(
        tracker.accept(endpoint_list(3, old_entry, is_complete=False), tracker.begin_poll(), 2)
    ) == {"s": EndpointState.READY}


def test_gone_server_stays_gone_after_a_failure_unless_restarted() -> None:
    for started_ms, expected_state in (
        (STARTED_MS, EndpointState.GONE),
        (STARTED_MS + 1, EndpointState.READY),
    ):
        tracker = tracker_with_draining_server()
        assert tracker.accept(endpoint_list(10), tracker.begin_poll(), 9) is not None
        tracker.poll_failed()
        accepted = tracker.accept(
            endpoint_list(2, endpoint_entry("s", ADDRESS, started_ms=started_ms)), tracker.begin_poll(), 10
        )
        assert states(accepted) == {"s": expected_state}


def test_older_list_does_not_restore_an_older_start_time() -> None:
    tracker = EndpointListTracker(endpoint_list(5, endpoint_entry("s", ADDRESS, started_ms=STARTED_MS)))
    accepted = tracker.accept(
        endpoint_list(2, endpoint_entry("s", ADDRESS, started_ms=STARTED_MS - 7)), tracker.begin_poll(), 5
    )
    assert accepted is not None
    assert accepted.endpoints[0].entry.started_at == STARTED_MS * 1_000


def test_inconsistent_changes_require_a_complete_list() -> None:
    tracker = tracker_with_draining_server()
    assert tracker.after_version == 9
    tracker.poll_failed()
    with pytest.raises(InconsistentChangesError):
        tracker.accept(
            endpoint_list(2, endpoint_entry("s", ADDRESS), is_complete=False), tracker.begin_poll(), 9
        )
    assert tracker.after_version is None and tracker.version == 9
    assert tracker.accept(endpoint_list(2), tracker.begin_poll(), None) is not None
    assert tracker.after_version == 2


def test_changes_to_a_replaced_list_are_not_accepted() -> None:
    tracker = tracker_with_draining_server()
    watch_poll = tracker.begin_poll()
    tracker.poll_failed()
    assert tracker.accept(endpoint_list(2), tracker.begin_poll(), None) is not None
    assert (
        tracker.accept(endpoint_list(11, endpoint_entry("s", ADDRESS), is_complete=False), watch_poll, 9)
        is None
    )
    assert tracker.version == 2


def test_number_of_remembered_gone_servers_is_limited() -> None:
    tracker = EndpointListTracker(endpoint_list(1))
    for number in range(3_000):
        tracker.accept(
            endpoint_list(2 * number + 2, endpoint_entry(f"s-{number}", ADDRESS)), tracker.begin_poll(), None
        )
    assert len(tracker._gone_servers) == 1_024 and len(tracker._entries) == 1


@settings(max_examples=500, deadline=None, derandomize=True, database=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 12),
            st.booleans(),
            st.sampled_from(["active", "leaving", "left"]),
            st.sampled_from([0, 1, 2]),
            st.sampled_from(["in order", "overlapping", "after a failure"]),
        ),
        max_size=30,
    )
)
def test_draining_server_becomes_ready_only_by_a_newer_list_or_a_restart(
    responses: list[tuple[int, bool, str, int, str]],
) -> None:
    tracker = EndpointListTracker(endpoint_list(0))
    # Version of the list and start time of the server when it became draining or gone.
    unavailable_since: tuple[int, int] | None = None
    previous_position = tracker.begin_poll()
    for version, is_complete, state, started_ms, poll_order in responses:
        if poll_order == "after a failure":
            tracker.poll_failed()
        position = previous_position if poll_order == "overlapping" else tracker.begin_poll()
        previous_position, current_version = tracker.begin_poll(), tracker.version
        response = endpoint_list(
            version, endpoint_entry("s", ADDRESS, state=state, started_ms=started_ms), is_complete=is_complete
        )
        try:
            accepted = tracker.accept(response, position, current_version)
        except InconsistentChangesError:
            accepted = None
        if accepted is None:
            assert tracker.version == current_version
            continue
        (endpoint,) = accepted.endpoints
        if endpoint.entry.state is not EndpointState.READY:
            unavailable_since = (version, started_ms) if state != "active" else unavailable_since
        elif unavailable_since is not None and version < current_version:
            assert started_ms > unavailable_since[1]
        if endpoint.entry.state is EndpointState.READY:
            unavailable_since = None
