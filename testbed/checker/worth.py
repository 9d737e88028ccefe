"""What a day was worth: by class, zone and second, its prices, and how soon it came back after each fault."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import numpy as np
from hdrh.histogram import HdrHistogram

from testbed.checker.history import History, gather
from testbed.events import Event
from testbed.scenario.day import US

PRICES = {"cross_zone": 0.03, "handshake": 0.05, "connection": 0.05, "waste": 0.05, "peer": 0.01}
_PEER_BYTES = 256  # delivered for each first try, at which the whole price of peers is due
_BACK = 0.95  # a day is back at this part of what was served before its first trouble
_BACK_FOR = 2  # and stays there for so many seconds
_LONGEST_US = 120 * US


@dataclass(frozen=True, slots=True)
class Account:
    """The figures of one day.  Parts are of the worth asked for; times are seconds."""

    asked: int  # first tries
    served: float
    by_class: dict[str, float]
    by_zone: dict[str, float]
    by_second: list[float]  # served; of a second that asked for nothing, that of the one before
    refused: float  # part of the first tries whose last answer was a refusal
    failed: float
    attempts: float  # a first try
    prices: dict[str, float]
    latency_ms: dict[str, float]  # of what was served, from when it was meant to leave
    recovery_s: list[
        tuple[int, str, float | None]
    ]  # a trouble's number, kind and time to be back; None: never

    @property
    def worth(self) -> float:
        """What is left after prices."""
        return max(self.served - sum(self.prices.values()), 0.0)


@dataclass(slots=True)
class _ClientRequest:
    """A first try with its retries."""

    copy: int
    service_class: int
    meant: int
    worth: float = 0.0
    last_status: int = 0
    took_us: int | None = None


def account(events: Iterable[Event] | History) -> Account:
    """Count what was served on a day; raise LogError where the log is none of a day."""
    history = events if isinstance(events, History) else gather(events)
    requests = _client_requests(history)
    day = history.day
    worth_of = [kind.worth for kind in day.classes]
    by_second = _by_second(history, requests)
    return Account(
        asked=len(requests),
        served=_part(requests, worth_of),
        by_class={
            kind.name: _part([request for request in requests if request.service_class == place], worth_of)
            for place, kind in enumerate(day.classes)
        },
        by_zone={
            zone.name: _part(
                [request for request in requests if day.copies[request.copy].zone == zone.name], worth_of
            )
            for zone in day.zones
        },
        by_second=by_second,
        refused=_share(requests, lambda request: request.worth == 0 and request.last_status in (429, 503)),
        failed=_share(requests, lambda request: request.worth == 0 and request.last_status not in (429, 503)),
        attempts=sum(len(request.attempts) for request in history.requests.values()) / max(len(requests), 1),
        prices=_prices(history, len(requests)),
        latency_ms=_latency(requests),
        recovery_s=_recovery(history, by_second),
    )


def _client_requests(history: History) -> list[_ClientRequest]:
    requests = []
    for first, numbers in history.first_tries.items():
        request = _first_attempt(history, first, numbers)
        kind = history.day.classes[request.service_class]
        for number in numbers:
            answered = history.requests[number].answered
            if answered is None:
                continue
            request.last_status = answered.status
            took = answered.at - request.meant
            if answered.status == 200 and took <= kind.deadline_us and request.took_us is None:
                request.took_us = took
                request.worth = kind.worth * (1.0 if took <= kind.aim_us else kind.late_worth)
        requests.append(request)
    return requests


def _first_attempt(history: History, first: int, numbers: list[int]) -> _ClientRequest:
    taken = next(
        (history.requests[number].taken for number in numbers if history.requests[number].taken), None
    )
    if taken is not None:
        return _ClientRequest(taken.copy, taken.service_class, taken.meant)
    unreached = history.unreached[first]
    return _ClientRequest(unreached.copy, unreached.service_class, unreached.meant)


def _part(requests: list[_ClientRequest], worth_of: list[float]) -> float:
    asked = sum(worth_of[request.service_class] for request in requests)
    return sum(request.worth for request in requests) / asked if asked else 1.0


def _share(requests: list[_ClientRequest], is_such: Callable[[_ClientRequest], bool]) -> float:
    return sum(is_such(request) for request in requests) / max(len(requests), 1)


def _by_second(history: History, requests: list[_ClientRequest]) -> list[float]:
    count = max(-(-history.day.length_us // US), 1)
    asked, earned = np.zeros(count), np.zeros(count)
    for request in requests:
        second = min(max(request.meant // US, 0), count - 1)
        asked[second] += history.day.classes[request.service_class].worth
        earned[second] += request.worth
    shares: list[float] = []
    for asked_worth, served_worth in zip(asked, earned, strict=True):
        shares.append(float(served_worth / asked_worth) if asked_worth else (shares[-1] if shares else 1.0))
    return shares


def _latency(requests: list[_ClientRequest]) -> dict[str, float]:
    histogram = HdrHistogram(1, _LONGEST_US, 3)
    for request in requests:
        if request.took_us is not None:
            histogram.record_value(min(max(request.took_us, 1), _LONGEST_US))
    if not histogram.get_total_count():
        return {}
    return {f"p{part:g}": histogram.get_value_at_percentile(part) / 1e3 for part in (50, 90, 99, 99.9)}


def _prices(history: History, asked: int) -> dict[str, float]:
    day = history.day
    attempts = [attempt for request in history.requests.values() for attempt in request.attempts]
    crossing = sum(
        day.copies[attempt.arrived.copy].zone != day.servers[attempt.arrived.server].zone
        for attempt in attempts
    )
    useful = {
        request.answered.attempt
        for request in history.requests.values()
        if request.answered and request.answered.status == 200
    }
    work = sum(attempt.arrived.work for attempt in attempts)
    wasted = sum(
        attempt.arrived.work
        for attempt in attempts
        if attempt.how != "full" and attempt.arrived.attempt not in useful
    )
    peer_bytes = sum(datagram.size for datagram in history.datagrams if datagram.passed)
    asked = max(asked, 1)
    shares = {
        "cross_zone": crossing / asked,
        "handshake": sum(connection.opened for connection in history.connected) / asked,
        "connection": _mean_open(history) / (100 * len(day.servers)),
        "waste": wasted / work if work else 0.0,
        "peer": peer_bytes / (_PEER_BYTES * asked),
    }
    return {name: PRICES[name] * share for name, share in shares.items()}


def _mean_open(history: History) -> float:
    """Connections to servers that were open, on average over the day."""
    area, open_connections, before = 0, 0, 0
    for connection in history.connected:
        area += open_connections * (connection.at - before)
        open_connections += 1 if connection.opened else -1
        before = connection.at
    area += open_connections * max(history.last_at - before, 0)
    return area / max(history.last_at, 1)


def _recovery(history: History, by_second: list[float]) -> list[tuple[int, str, float | None]]:
    """For each trouble, from its end to the first of some seconds that are all as good as before any."""
    faults = history.day.troubles
    if not faults:
        return []
    before = by_second[: max(faults[0].at_us // US, 1)]
    wanted = _BACK * sum(before) / len(before)
    recoveries: list[tuple[int, str, float | None]] = []
    for fault in faults:
        end = fault.until_us / US
        recovered_at = next(
            (
                second
                for second in range(int(end), len(by_second))
                if all(part >= wanted for part in by_second[second : second + _BACK_FOR])
            ),
            None,
        )
        recoveries.append(
            (fault.number, fault.kind, None if recovered_at is None else max(recovered_at - end, 0.0))
        )
    return recoveries
