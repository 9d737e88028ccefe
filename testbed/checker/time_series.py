"""A day over time: what was asked for and came of it, what servers held, and whom the copies avoided."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import numpy as np

from testbed.checker.history import History, build_history
from testbed.checker.membership import membership_views
from testbed.events import Event

_MOST_BINS = 240
_LEAST_BIN_US = 100_000
_REJECTED = (429, 503)


class TimeSeries(msgspec.Struct, frozen=True):
    """Values by time; `bin_us` is the span of each.  Rates are a second, the rest are means over the span."""

    bin_us: int
    requested_per_s: list[float] = msgspec.field(
        name="asked"
    )  # first tries a second, by when they were meant to leave
    served_per_s: list[float] = msgspec.field(name="served")  # of these
    rejected_per_s: list[float] = msgspec.field(name="refused")
    failed_per_s: list[float] = msgspec.field(name="failed")
    in_flight_warm: list[float] = msgspec.field(name="warm")  # requests in flight at servers that are warm
    in_flight_warming_up: list[float] = msgspec.field(name="cold")  # and at cold ones
    unavailable_endpoints: list[float] = msgspec.field(
        name="unavailable"
    )  # servers that a copy avoids, on average over copies that say so
    listed_endpoints: dict[str, list[float]] = msgspec.field(
        name="members"
    )  # servers listed, as each copy has it
    membership_views: dict[str, list[tuple[float, str]]] = msgspec.field(
        name="tier"
    )  # by copy, what it believed of all members, as it changed
    faults: list[tuple[str, float, float]] = msgspec.field(name="troubles")  # kind, begin and end in seconds


def compute_time_series(events: Iterable[Event] | History) -> TimeSeries:
    """A day cut into at most 240 spans; raise LogError where the log is none of a day."""
    history = events if isinstance(events, History) else build_history(events)
    length = history.run.duration_us
    bin_us = max(-(-length // _MOST_BINS), _LEAST_BIN_US)
    count = max(-(-length // bin_us), 1)
    outcomes = _outcomes(history, bin_us, count)
    warm, cold = _in_flight(history, bin_us, count)
    unavailable, members = _figures(history, bin_us, count)
    per_s = 1e6 / bin_us
    return TimeSeries(
        bin_us=bin_us,
        requested_per_s=_plain(sum(outcomes.values(), np.zeros(count)) * per_s),
        served_per_s=_plain(outcomes["served"] * per_s),
        rejected_per_s=_plain(outcomes["refused"] * per_s),
        failed_per_s=_plain(outcomes["failed"] * per_s),
        in_flight_warm=_plain(warm),
        in_flight_warming_up=_plain(cold),
        unavailable_endpoints=_plain(unavailable),
        listed_endpoints=members,
        membership_views=_tier(history),
        faults=[(fault.kind, fault.start_us / 1e6, fault.end_us / 1e6) for fault in history.run.faults],
    )


def _tier(history: History) -> dict[str, list[tuple[float, str]]]:
    out: dict[str, list[tuple[float, str]]] = {}
    for look in membership_views(history):
        own = out.setdefault(str(look.replica), [])
        if not own or own[-1][1] != look.states:
            own.append((look.at_us / 1e6, look.states))
    return out


def _plain(values: np.ndarray) -> list[float]:
    return [round(float(value), 3) for value in values]


def _outcomes(history: History, bin_us: int, count: int) -> dict[str, np.ndarray]:
    out = {name: np.zeros(count) for name in ("served", "refused", "failed")}
    for first, numbers in history.client_requests.items():
        responses = [history.requests[number].response for number in numbers]
        statuses = [response.status for response in responses if response is not None]
        taken = next(
            (history.requests[number].sent for number in numbers if history.requests[number].sent), None
        )
        meant = taken.scheduled_at_us if taken is not None else history.not_sent[first].scheduled_at_us
        outcome = "served" if 200 in statuses else "failed"
        if outcome == "failed" and statuses and statuses[-1] in _REJECTED:
            outcome = "refused"
        out[outcome][min(max(meant // bin_us, 0), count - 1)] += 1
    return out


def _in_flight(history: History, bin_us: int, count: int) -> tuple[np.ndarray, np.ndarray]:
    """Mean numbers of attempts at warm and at cold servers, by what the server was as each came."""
    warm, cold = np.zeros(count), np.zeros(count)
    for request in history.requests.values():
        for attempt in request.attempts:
            server, at = attempt.received.server, attempt.received.at_us
            cold_us = history.run.servers[server].slow_start_us
            is_cold = any(start <= at < start + cold_us for start in history.server_starts.get(server, ()))
            _spread(cold if is_cold else warm, at, attempt.ended_at_us or at, bin_us)
    return warm / bin_us, cold / bin_us


def _spread(into: np.ndarray, begin: int, end: int, bin_us: int) -> None:
    """Add the microseconds of a span to the bins that it lies in."""
    at = max(begin, 0)
    while at < end:
        place = at // bin_us
        if place >= len(into):
            return
        until = min((place + 1) * bin_us, end)
        into[place] += until - at
        at = until


def _figures(history: History, bin_us: int, count: int) -> tuple[np.ndarray, dict[str, list[float]]]:
    """What copies said of themselves last, at the end of each span."""
    last: dict[int, tuple[int, int]] = {}
    unavailable = np.zeros(count)
    members: dict[str, list[float]] = {}
    reports = iter([*sorted(history.metrics_reports, key=lambda figures: figures.at_us)])
    report = next(reports, None)
    for place in range(count):
        while report is not None and report.at_us < (place + 1) * bin_us:
            last[report.replica] = report.unavailable_endpoints, report.listed_endpoints
            report = next(reports, None)
        if last:
            unavailable[place] = sum(avoided for avoided, _ in last.values()) / len(last)
        for copy, (_, listed) in last.items():
            members.setdefault(f"copy {copy}", [0.0] * place).append(float(listed))
    return unavailable, members
