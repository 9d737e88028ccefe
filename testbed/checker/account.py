"""The account of a run: value served by class, zone and second, prices, latency, and recovery from faults.

The value of a client request is the priority weight of its class; late responses earn a part of it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import numpy as np
from hdrh.histogram import HdrHistogram

from testbed.checker.history import History, build_history
from testbed.events import Event
from testbed.scenario.scenario_run import US_PER_S

# What extra work costs, as a fraction of the value requested; each at the unit that `_prices` states.
PRICES = {"cross_zone": 0.03, "handshake": 0.05, "connection": 0.05, "waste": 0.05, "peer": 0.01}
_PEER_BYTES = 256  # of delivered datagrams per client request at which the price of peer messages is due
_RECOVERED_FRACTION = 0.95  # of the value served before the first fault, from which a run has recovered
_RECOVERED_SECONDS = 2  # for which that fraction must last
_MAX_LATENCY_US = 120 * US_PER_S
_REJECTED = (429, 503)


@dataclass(frozen=True, slots=True)
class Account:
    """The account of one run.  Value is given as a fraction of the value requested; times are in seconds."""

    client_requests: int
    served_fraction: float
    by_class: dict[str, float]
    by_zone: dict[str, float]
    by_second: list[float]  # for a second without requests, that of the second before
    rejected_fraction: float  # of the client requests: not served, and the last response was a rejection
    failed_fraction: float  # of the client requests: not served for any other reason
    attempts_per_request: float
    prices: dict[str, float]
    latency_ms: dict[str, float]  # percentiles of served client requests, since their first attempt was due
    # For each fault its number, its kind and the recovery time; None: not recovered by the end.
    recovery_s: list[tuple[int, str, float | None]]

    @property
    def net_value_served(self) -> float:
        """The value served less the prices."""
        return max(self.served_fraction - sum(self.prices.values()), 0.0)


@dataclass(slots=True)
class _ClientRequest:
    """A client request with its retries."""

    replica: int
    service_class: int
    scheduled_at_us: int
    value: float = 0.0  # of the response
    last_status: int = 0
    latency_us: int | None = None  # None: not served in time


def compute_account(events: Iterable[Event] | History) -> Account:
    """Compute the account of a run.

    Raises:
        EventLogError: The events do not begin with a run.
    """
    history = events if isinstance(events, History) else build_history(events)
    requests = _client_requests(history)
    run = history.run
    weights = [service_class.priority_weight for service_class in run.classes]
    by_second = _by_second(history, requests)
    return Account(
        client_requests=len(requests),
        served_fraction=_served_fraction(requests, weights),
        by_class={
            service_class.name: _served_fraction(
                [request for request in requests if request.service_class == place], weights
            )
            for place, service_class in enumerate(run.classes)
        },
        by_zone={
            zone.name: _served_fraction(
                [request for request in requests if run.replicas[request.replica].zone == zone.name], weights
            )
            for zone in run.zones
        },
        by_second=by_second,
        rejected_fraction=_fraction(
            requests, lambda request: request.value == 0 and request.last_status in _REJECTED
        ),
        failed_fraction=_fraction(
            requests, lambda request: request.value == 0 and request.last_status not in _REJECTED
        ),
        attempts_per_request=sum(len(request.attempts) for request in history.requests.values())
        / max(len(requests), 1),
        prices=_prices(history, len(requests)),
        latency_ms=_latency_percentiles(requests),
        recovery_s=_recovery(history, by_second),
    )


def _client_requests(history: History) -> list[_ClientRequest]:
    """Return all client requests with their outcome; the first response in time decides their value."""
    client_requests = []
    for client_request, numbers in history.client_requests.items():
        request = _new_client_request(history, client_request, numbers)
        service_class = history.run.classes[request.service_class]
        for number in numbers:
            response = history.requests[number].response
            if response is None:
                continue
            request.last_status = response.status
            latency_us = response.at_us - request.scheduled_at_us
            is_in_time = response.status == 200 and latency_us <= service_class.deadline_us
            if is_in_time and request.latency_us is None:
                is_on_objective = latency_us <= service_class.latency_objective_us
                request.latency_us = latency_us
                request.value = service_class.priority_weight * (
                    1.0 if is_on_objective else service_class.late_priority_weight
                )
        client_requests.append(request)
    return client_requests


def _new_client_request(history: History, client_request: int, numbers: list[int]) -> _ClientRequest:
    sent = next((history.requests[number].sent for number in numbers if history.requests[number].sent), None)
    if sent is not None:
        return _ClientRequest(sent.replica, sent.service_class, sent.scheduled_at_us)
    not_sent = history.not_sent[client_request]
    return _ClientRequest(not_sent.replica, not_sent.service_class, not_sent.scheduled_at_us)


def _served_fraction(requests: list[_ClientRequest], weights: list[float]) -> float:
    """Return the value served as a fraction of the value requested; 1 if nothing was requested."""
    requested = sum(weights[request.service_class] for request in requests)
    return sum(request.value for request in requests) / requested if requested else 1.0


def _fraction(requests: list[_ClientRequest], applies: Callable[[_ClientRequest], bool]) -> float:
    """Return the fraction of the requests to which a condition applies."""
    return sum(applies(request) for request in requests) / max(len(requests), 1)


def _by_second(history: History, requests: list[_ClientRequest]) -> list[float]:
    """Return the value served as a fraction of the value requested, by the second it was due."""
    count = max(-(-history.run.duration_us // US_PER_S), 1)
    requested, served = np.zeros(count), np.zeros(count)
    for request in requests:
        second = min(max(request.scheduled_at_us // US_PER_S, 0), count - 1)
        requested[second] += history.run.classes[request.service_class].priority_weight
        served[second] += request.value
    fractions: list[float] = []
    for requested_value, served_value in zip(requested, served, strict=True):
        if requested_value:
            fractions.append(float(served_value / requested_value))
        else:
            fractions.append(fractions[-1] if fractions else 1.0)
    return fractions


def _latency_percentiles(requests: list[_ClientRequest]) -> dict[str, float]:
    """Return percentiles of the latency in milliseconds; empty if nothing was served."""
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    for request in requests:
        if request.latency_us is not None:
            histogram.record_value(min(max(request.latency_us, 1), _MAX_LATENCY_US))
    if not histogram.get_total_count():
        return {}
    return {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1e3
        for percentile in (50, 90, 99, 99.9)
    }


def _prices(history: History, client_requests: int) -> dict[str, float]:
    """Return what extra work cost in the run.

    The full price is due for one unit per client request: an attempt to another zone, a connection opened,
    256 bytes of datagrams between replicas.  For open connections the unit is a mean of a hundred per server,
    for waste all of the work that servers did.
    """
    run = history.run
    attempts = [attempt for request in history.requests.values() for attempt in request.attempts]
    cross_zone = sum(
        run.replicas[attempt.received.replica].zone != run.servers[attempt.received.server].zone
        for attempt in attempts
    )
    useful = {
        request.response.attempt
        for request in history.requests.values()
        if request.response and request.response.status == 200
    }
    work_us = sum(attempt.received.work_us for attempt in attempts)
    wasted_us = sum(
        attempt.received.work_us
        for attempt in attempts
        if attempt.outcome != "full" and attempt.received.attempt not in useful
    )
    peer_bytes = sum(datagram.size_bytes for datagram in history.datagrams if datagram.delivered)
    client_requests = max(client_requests, 1)
    units = {
        "cross_zone": cross_zone / client_requests,
        "handshake": sum(change.opened for change in history.connection_changes) / client_requests,
        "connection": _mean_open_connections(history) / (100 * len(run.servers)),
        "waste": wasted_us / work_us if work_us else 0.0,
        "peer": peer_bytes / (_PEER_BYTES * client_requests),
    }
    return {name: PRICES[name] * amount for name, amount in units.items()}


def _mean_open_connections(history: History) -> float:
    """Return the mean number of open connections to servers over the run."""
    connection_us, open_connections, last_at_us = 0, 0, 0
    for change in history.connection_changes:
        connection_us += open_connections * (change.at_us - last_at_us)
        open_connections += 1 if change.opened else -1
        last_at_us = change.at_us
    connection_us += open_connections * max(history.last_at_us - last_at_us, 0)
    return connection_us / max(history.last_at_us, 1)


def _recovery(history: History, by_second: list[float]) -> list[tuple[int, str, float | None]]:
    """Return the recovery time of each fault.

    A run has recovered at the first of two seconds after the fault's end in which nearly as much is served as
    before the first fault.
    """
    faults = history.run.faults
    if not faults:
        return []
    before = by_second[: max(faults[0].start_us // US_PER_S, 1)]
    required = _RECOVERED_FRACTION * sum(before) / len(before)
    recoveries: list[tuple[int, str, float | None]] = []
    for fault in faults:
        end_s = fault.end_us / US_PER_S
        recovered_at_s = next(
            (
                second
                for second in range(int(end_s), len(by_second))
                if all(served >= required for served in by_second[second : second + _RECOVERED_SECONDS])
            ),
            None,
        )
        recovery_s = None if recovered_at_s is None else max(recovered_at_s - end_s, 0.0)
        recoveries.append((fault.number, fault.kind, recovery_s))
    return recoveries
