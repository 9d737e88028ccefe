"""A day over time: what was asked for and came of it, what servers held, and whom the copies avoided."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import numpy as np

from testbed.checker.history import History, gather
from testbed.checker.tier import looks
from testbed.events import Event

_MOST_BINS = 240
_LEAST_BIN_US = 100_000
_REJECTED = (429, 503)


class Series(msgspec.Struct, frozen=True):
    """Values by time; `bin_us` is the span of each.  Rates are a second, the rest are means over the span."""

    bin_us: int
    asked: list[float]  # first tries a second, by when they were meant to leave
    served: list[float]  # of these
    refused: list[float]
    failed: list[float]
    warm: list[float]  # requests in flight at servers that are warm
    cold: list[float]  # and at cold ones
    unavailable: list[float]  # servers that a copy avoids, on average over copies that say so
    members: dict[str, list[float]]  # servers listed, as each copy has it
    tier: dict[str, list[tuple[float, str]]]  # by copy, what it believed of all members, as it changed
    troubles: list[tuple[str, float, float]]  # kind, begin and end in seconds


def series(events: Iterable[Event] | History) -> Series:
    """A day cut into at most 240 spans; raise LogError where the log is none of a day."""
    history = events if isinstance(events, History) else gather(events)
    length = history.day.length_us
    bin_us = max(-(-length // _MOST_BINS), _LEAST_BIN_US)
    count = max(-(-length // bin_us), 1)
    outcomes = _outcomes(history, bin_us, count)
    warm, cold = _in_flight(history, bin_us, count)
    unavailable, members = _figures(history, bin_us, count)
    per_s = 1e6 / bin_us
    return Series(
        bin_us=bin_us,
        asked=_plain(sum(outcomes.values(), np.zeros(count)) * per_s),
        served=_plain(outcomes["served"] * per_s),
        refused=_plain(outcomes["refused"] * per_s),
        failed=_plain(outcomes["failed"] * per_s),
        warm=_plain(warm),
        cold=_plain(cold),
        unavailable=_plain(unavailable),
        members=members,
        tier=_tier(history),
        troubles=[(fault.kind, fault.at_us / 1e6, fault.until_us / 1e6) for fault in history.day.troubles],
    )


def _tier(history: History) -> dict[str, list[tuple[float, str]]]:
    out: dict[str, list[tuple[float, str]]] = {}
    for look in looks(history):
        own = out.setdefault(str(look.copy), [])
        if not own or own[-1][1] != look.view:
            own.append((look.at / 1e6, look.view))
    return out


def _plain(values: np.ndarray) -> list[float]:
    return [round(float(value), 3) for value in values]


def _outcomes(history: History, bin_us: int, count: int) -> dict[str, np.ndarray]:
    out = {name: np.zeros(count) for name in ("served", "refused", "failed")}
    for first, numbers in history.first_tries.items():
        responses = [history.requests[number].answered for number in numbers]
        statuses = [response.status for response in responses if response is not None]
        taken = next(
            (history.requests[number].taken for number in numbers if history.requests[number].taken), None
        )
        meant = taken.meant if taken is not None else history.unreached[first].meant
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
            server, at = attempt.arrived.server, attempt.arrived.at
            cold_us = history.day.servers[server].cold_us
            is_cold = any(start <= at < start + cold_us for start in history.starts.get(server, ()))
            _spread(cold if is_cold else warm, at, attempt.ended_at or at, bin_us)
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
    reports = iter([*sorted(history.figures, key=lambda figures: figures.at)])
    report = next(reports, None)
    for place in range(count):
        while report is not None and report.at < (place + 1) * bin_us:
            last[report.copy] = report.unavailable, report.members
            report = next(reports, None)
        if last:
            unavailable[place] = sum(avoided for avoided, _ in last.values()) / len(last)
        for copy, (_, listed) in last.items():
            members.setdefault(f"copy {copy}", [0.0] * place).append(float(listed))
    return unavailable, members
