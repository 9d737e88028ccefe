"""A run over time: client requests and their outcomes, load of the servers, and views of the replicas."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import numpy as np

from testbed.checker.history import History, build_history
from testbed.checker.membership import membership_views
from testbed.events import Event

_MAX_BINS = 240
_MIN_BIN_US = 100_000
_REJECTED = (429, 503)


class TimeSeries(msgspec.Struct, frozen=True):
    """Values for each bin of `bin_us`.  Those per second are rates, the others means over the bin."""

    bin_us: int
    # Client requests by when their first attempt was due, and those of them by outcome.
    requested_per_s: list[float] = msgspec.field(name="asked")
    served_per_s: list[float] = msgspec.field(name="served")
    rejected_per_s: list[float] = msgspec.field(name="refused")
    failed_per_s: list[float] = msgspec.field(name="failed")
    # Attempts in flight at warm servers, and at servers in slow start.
    in_flight_warm: list[float] = msgspec.field(name="warm")
    in_flight_warming_up: list[float] = msgspec.field(name="cold")
    # At the end of each bin: endpoints avoided, the mean over the replicas that report it; endpoints
    # listed, by replica.
    unavailable_endpoints: list[float] = msgspec.field(name="unavailable")
    listed_endpoints: dict[str, list[float]] = msgspec.field(name="members")
    # By replica: each change of its membership view, with its time in seconds.
    membership_views: dict[str, list[tuple[float, str]]] = msgspec.field(name="tier")
    faults: list[tuple[str, float, float]] = msgspec.field(name="troubles")  # kind, start and end in seconds


def compute_time_series(events: Iterable[Event] | History) -> TimeSeries:
    """Divide a run into at most 240 bins.

    Raises:
        EventLogError: The events do not begin with a run.
    """
    history = events if isinstance(events, History) else build_history(events)
    duration_us = history.run.duration_us
    bin_us = max(-(-duration_us // _MAX_BINS), _MIN_BIN_US)
    count = max(-(-duration_us // bin_us), 1)
    outcomes = _outcomes(history, bin_us, count)
    warm, warming_up = _in_flight(history, bin_us, count)
    unavailable, listed = _endpoint_counts(history, bin_us, count)
    per_s = 1e6 / bin_us
    return TimeSeries(
        bin_us=bin_us,
        requested_per_s=_rounded(sum(outcomes.values(), np.zeros(count)) * per_s),
        served_per_s=_rounded(outcomes["served"] * per_s),
        rejected_per_s=_rounded(outcomes["rejected"] * per_s),
        failed_per_s=_rounded(outcomes["failed"] * per_s),
        in_flight_warm=_rounded(warm),
        in_flight_warming_up=_rounded(warming_up),
        unavailable_endpoints=_rounded(unavailable),
        listed_endpoints=listed,
        membership_views=_view_changes(history),
        faults=[(fault.kind, fault.start_us / 1e6, fault.end_us / 1e6) for fault in history.run.faults],
    )


def _view_changes(history: History) -> dict[str, list[tuple[float, str]]]:
    changes: dict[str, list[tuple[float, str]]] = {}
    for view in membership_views(history):
        of_replica = changes.setdefault(str(view.replica), [])
        if not of_replica or of_replica[-1][1] != view.states:
            of_replica.append((view.at_us / 1e6, view.states))
    return changes


def _rounded(values: np.ndarray) -> list[float]:
    return [round(float(value), 3) for value in values]


def _outcomes(history: History, bin_us: int, count: int) -> dict[str, np.ndarray]:
    """Count the client requests of each bin by outcome: served, rejected at last, or failed."""
    counts = {name: np.zeros(count) for name in ("served", "rejected", "failed")}
    for client_request, numbers in history.client_requests.items():
        requests = [history.requests[number] for number in numbers]
        statuses = [request.response.status for request in requests if request.response is not None]
        sent = next((request.sent for request in requests if request.sent), None)
        scheduled_at_us = (
            sent.scheduled_at_us if sent is not None else history.not_sent[client_request].scheduled_at_us
        )
        outcome = "served" if 200 in statuses else "failed"
        if outcome == "failed" and statuses and statuses[-1] in _REJECTED:
            outcome = "rejected"
        counts[outcome][min(max(scheduled_at_us // bin_us, 0), count - 1)] += 1
    return counts


def _in_flight(history: History, bin_us: int, count: int) -> tuple[np.ndarray, np.ndarray]:
    """Return the mean number of attempts at warm servers and at servers in slow start.

    An attempt counts by the state of its server when the attempt was received.
    """
    warm, warming_up = np.zeros(count), np.zeros(count)
    for request in history.requests.values():
        for attempt in request.attempts:
            server, at_us = attempt.received.server, attempt.received.at_us
            slow_start_us = history.run.servers[server].slow_start_us
            is_warming_up = any(
                start_us <= at_us < start_us + slow_start_us
                for start_us in history.server_starts.get(server, ())
            )
            _add_span(warming_up if is_warming_up else warm, at_us, attempt.ended_at_us or at_us, bin_us)
    return warm / bin_us, warming_up / bin_us


def _add_span(bins: np.ndarray, start_us: int, end_us: int, bin_us: int) -> None:
    """Add to each bin the microseconds of a span that lie in it."""
    at_us = max(start_us, 0)
    while at_us < end_us:
        place = at_us // bin_us
        if place >= len(bins):
            return
        bin_end_us = min((place + 1) * bin_us, end_us)
        bins[place] += bin_end_us - at_us
        at_us = bin_end_us


def _endpoint_counts(history: History, bin_us: int, count: int) -> tuple[np.ndarray, dict[str, list[float]]]:
    """Return the unavailable and the listed endpoints that replicas reported last before each bin's end."""
    latest: dict[int, tuple[int, int]] = {}  # by replica: unavailable, listed
    unavailable = np.zeros(count)
    listed: dict[str, list[float]] = {}
    reports = iter(sorted(history.metrics_reports, key=lambda report: report.at_us))
    report = next(reports, None)
    for place in range(count):
        while report is not None and report.at_us < (place + 1) * bin_us:
            latest[report.replica] = report.unavailable_endpoints, report.listed_endpoints
            report = next(reports, None)
        if latest:
            unavailable[place] = sum(avoided for avoided, _ in latest.values()) / len(latest)
        for replica, (_, listed_count) in latest.items():
            listed.setdefault(f"copy {replica}", [0.0] * place).append(float(listed_count))
    return unavailable, listed
