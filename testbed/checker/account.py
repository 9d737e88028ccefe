"""What a day was worth: by class, zone and second, its prices, and how soon it came back after each fault."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import numpy as np
from hdrh.histogram import HdrHistogram

from testbed.checker.history import History, build_history
from testbed.events import Event
from testbed.scenario.scenario_run import US_PER_S

PRICES = {"cross_zone": 0.03, "handshake": 0.05, "connection": 0.05, "waste": 0.05, "peer": 0.01}
_PEER_BYTES = 256  # delivered for each first try, at which the whole price of peers is due
_BACK = 0.95  # a day is back at this part of what was served before its first trouble
_BACK_FOR = 2  # and stays there for so many seconds
_LONGEST_US = 120 * US_PER_S


@dataclass(frozen=True, slots=True)
class Account:
    """The figures of one day.  Parts are of the worth asked for; times are seconds."""

    client_requests: int  # first tries
    served_fraction: float
    by_class: dict[str, float]
    by_zone: dict[str, float]
    by_second: list[float]  # served; of a second that asked for nothing, that of the one before
    rejected_fraction: float  # part of the first tries whose last answer was a refusal
    failed_fraction: float
    attempts_per_request: float  # a first try
    prices: dict[str, float]
    latency_ms: dict[str, float]  # of what was served, from when it was meant to leave
    recovery_s: list[
        tuple[int, str, float | None]
    ]  # a trouble's number, kind and time to be back; None: never

    @property
    def net_value_served(self) -> float:
        """What is left after prices."""
        return max(self.served_fraction - sum(self.prices.values()), 0.0)


@dataclass(slots=True)
class _ClientRequest:
    """A first try with its retries."""

    replica: int
    service_class: int
    scheduled_at_us: int
    value: float = 0.0
    last_status: int = 0
    latency_us: int | None = None


def compute_account(events: Iterable[Event] | History) -> Account:
    """Count what was served on a day; raise LogError where the log is none of a day."""
    history = events if isinstance(events, History) else build_history(events)
    requests = _client_requests(history)
    day = history.run
    worth_of = [kind.priority_weight for kind in day.classes]
    by_second = _by_second(history, requests)
    return Account(
        client_requests=len(requests),
        served_fraction=_part(requests, worth_of),
        by_class={
            kind.name: _part([request for request in requests if request.service_class == place], worth_of)
            for place, kind in enumerate(day.classes)
        },
        by_zone={
            zone.name: _part(
                [request for request in requests if day.replicas[request.replica].zone == zone.name], worth_of
            )
            for zone in day.zones
        },
        by_second=by_second,
        rejected_fraction=_share(
            requests, lambda request: request.value == 0 and request.last_status in (429, 503)
        ),
        failed_fraction=_share(
            requests, lambda request: request.value == 0 and request.last_status not in (429, 503)
        ),
        attempts_per_request=sum(len(request.attempts) for request in history.requests.values())
        / max(len(requests), 1),
        prices=_prices(history, len(requests)),
        latency_ms=_latency(requests),
        recovery_s=_recovery(history, by_second),
    )


def _client_requests(history: History) -> list[_ClientRequest]:
    requests = []
    for first, numbers in history.client_requests.items():
        request = _first_attempt(history, first, numbers)
        kind = history.run.classes[request.service_class]
        for number in numbers:
            answered = history.requests[number].response
            if answered is None:
                continue
            request.last_status = answered.status
            took = answered.at_us - request.scheduled_at_us
            if answered.status == 200 and took <= kind.deadline_us and request.latency_us is None:
                request.latency_us = took
                request.value = kind.priority_weight * (
                    1.0 if took <= kind.latency_objective_us else kind.late_priority_weight
                )
        requests.append(request)
    return requests


def _first_attempt(history: History, first: int, numbers: list[int]) -> _ClientRequest:
    taken = next((history.requests[number].sent for number in numbers if history.requests[number].sent), None)
    if taken is not None:
        return _ClientRequest(taken.replica, taken.service_class, taken.scheduled_at_us)
    unreached = history.not_sent[first]
    return _ClientRequest(unreached.replica, unreached.service_class, unreached.scheduled_at_us)


def _part(requests: list[_ClientRequest], worth_of: list[float]) -> float:
    asked = sum(worth_of[request.service_class] for request in requests)
    return sum(request.value for request in requests) / asked if asked else 1.0


def _share(requests: list[_ClientRequest], is_such: Callable[[_ClientRequest], bool]) -> float:
    return sum(is_such(request) for request in requests) / max(len(requests), 1)


def _by_second(history: History, requests: list[_ClientRequest]) -> list[float]:
    count = max(-(-history.run.duration_us // US_PER_S), 1)
    asked, earned = np.zeros(count), np.zeros(count)
    for request in requests:
        second = min(max(request.scheduled_at_us // US_PER_S, 0), count - 1)
        asked[second] += history.run.classes[request.service_class].priority_weight
        earned[second] += request.value
    shares: list[float] = []
    for asked_worth, served_worth in zip(asked, earned, strict=True):
        shares.append(float(served_worth / asked_worth) if asked_worth else (shares[-1] if shares else 1.0))
    return shares


def _latency(requests: list[_ClientRequest]) -> dict[str, float]:
    histogram = HdrHistogram(1, _LONGEST_US, 3)
    for request in requests:
        if request.latency_us is not None:
            histogram.record_value(min(max(request.latency_us, 1), _LONGEST_US))
    if not histogram.get_total_count():
        return {}
    return {f"p{part:g}": histogram.get_value_at_percentile(part) / 1e3 for part in (50, 90, 99, 99.9)}


def _prices(history: History, asked: int) -> dict[str, float]:
    day = history.run
    attempts = [attempt for request in history.requests.values() for attempt in request.attempts]
    crossing = sum(
        day.replicas[attempt.received.replica].zone != day.servers[attempt.received.server].zone
        for attempt in attempts
    )
    useful = {
        request.response.attempt
        for request in history.requests.values()
        if request.response and request.response.status == 200
    }
    work = sum(attempt.received.work_us for attempt in attempts)
    wasted = sum(
        attempt.received.work_us
        for attempt in attempts
        if attempt.outcome != "full" and attempt.received.attempt not in useful
    )
    peer_bytes = sum(datagram.size_bytes for datagram in history.datagrams if datagram.delivered)
    asked = max(asked, 1)
    shares = {
        "cross_zone": crossing / asked,
        "handshake": sum(connection.opened for connection in history.connection_changes) / asked,
        "connection": _mean_open(history) / (100 * len(day.servers)),
        "waste": wasted / work if work else 0.0,
        "peer": peer_bytes / (_PEER_BYTES * asked),
    }
    return {name: PRICES[name] * share for name, share in shares.items()}


def _mean_open(history: History) -> float:
    """Connections to servers that were open, on average over the day."""
    area, open_connections, before = 0, 0, 0
    for connection in history.connection_changes:
        area += open_connections * (connection.at_us - before)
        open_connections += 1 if connection.opened else -1
        before = connection.at_us
    area += open_connections * max(history.last_at_us - before, 0)
    return area / max(history.last_at_us, 1)


def _recovery(history: History, by_second: list[float]) -> list[tuple[int, str, float | None]]:
    """For each trouble, from its end to the first of some seconds that are all as good as before any."""
    faults = history.run.faults
    if not faults:
        return []
    before = by_second[: max(faults[0].start_us // US_PER_S, 1)]
    wanted = _BACK * sum(before) / len(before)
    recoveries: list[tuple[int, str, float | None]] = []
    for fault in faults:
        end = fault.end_us / US_PER_S
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
