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
class _Try:
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
    tries = _tries(history)
    day = history.day
    worth_of = [each.worth for each in day.classes]
    by_second = _by_second(history, tries)
    return Account(
        asked=len(tries),
        served=_part(tries, worth_of),
        by_class={
            each.name: _part([one for one in tries if one.service_class == place], worth_of)
            for place, each in enumerate(day.classes)
        },
        by_zone={
            each.name: _part([one for one in tries if day.copies[one.copy].zone == each.name], worth_of)
            for each in day.zones
        },
        by_second=by_second,
        refused=_share(tries, lambda one: one.worth == 0 and one.last_status in (429, 503)),
        failed=_share(tries, lambda one: one.worth == 0 and one.last_status not in (429, 503)),
        attempts=sum(len(each.attempts) for each in history.requests.values()) / max(len(tries), 1),
        prices=_prices(history, len(tries)),
        latency_ms=_latency(tries),
        recovery_s=_recovery(history, by_second),
    )


def _tries(history: History) -> list[_Try]:
    out = []
    for first, numbers in history.first_tries.items():
        one = _first(history, first, numbers)
        kind = history.day.classes[one.service_class]
        for number in numbers:
            answered = history.requests[number].answered
            if answered is None:
                continue
            one.last_status = answered.status
            took = answered.at - one.meant
            if answered.status == 200 and took <= kind.deadline_us and one.took_us is None:
                one.took_us = took
                one.worth = kind.worth * (1.0 if took <= kind.aim_us else kind.late_worth)
        out.append(one)
    return out


def _first(history: History, first: int, numbers: list[int]) -> _Try:
    taken = next((history.requests[each].taken for each in numbers if history.requests[each].taken), None)
    if taken is not None:
        return _Try(taken.copy, taken.service_class, taken.meant)
    unreached = history.unreached[first]
    return _Try(unreached.copy, unreached.service_class, unreached.meant)


def _part(tries: list[_Try], worth_of: list[float]) -> float:
    asked = sum(worth_of[each.service_class] for each in tries)
    return sum(each.worth for each in tries) / asked if asked else 1.0


def _share(tries: list[_Try], is_such: Callable[[_Try], bool]) -> float:
    return sum(is_such(each) for each in tries) / max(len(tries), 1)


def _by_second(history: History, tries: list[_Try]) -> list[float]:
    count = max(-(-history.day.length_us // US), 1)
    asked, earned = np.zeros(count), np.zeros(count)
    for each in tries:
        second = min(max(each.meant // US, 0), count - 1)
        asked[second] += history.day.classes[each.service_class].worth
        earned[second] += each.worth
    out: list[float] = []
    for wanted, got in zip(asked, earned, strict=True):
        out.append(float(got / wanted) if wanted else (out[-1] if out else 1.0))
    return out


def _latency(tries: list[_Try]) -> dict[str, float]:
    histogram = HdrHistogram(1, _LONGEST_US, 3)
    for each in tries:
        if each.took_us is not None:
            histogram.record_value(min(max(each.took_us, 1), _LONGEST_US))
    if not histogram.get_total_count():
        return {}
    return {f"p{part:g}": histogram.get_value_at_percentile(part) / 1e3 for part in (50, 90, 99, 99.9)}


def _prices(history: History, asked: int) -> dict[str, float]:
    day = history.day
    attempts = [each for request in history.requests.values() for each in request.attempts]
    crossing = sum(
        day.copies[each.arrived.copy].zone != day.servers[each.arrived.server].zone for each in attempts
    )
    useful = {
        each.answered.attempt
        for each in history.requests.values()
        if each.answered and each.answered.status == 200
    }
    work = sum(each.arrived.work for each in attempts)
    wasted = sum(
        each.arrived.work for each in attempts if each.how != "full" and each.arrived.attempt not in useful
    )
    told = sum(each.size for each in history.datagrams if each.passed)
    asked = max(asked, 1)
    shares = {
        "cross_zone": crossing / asked,
        "handshake": sum(each.opened for each in history.connected) / asked,
        "connection": _mean_open(history) / (100 * len(day.servers)),
        "waste": wasted / work if work else 0.0,
        "peer": told / (_PEER_BYTES * asked),
    }
    return {name: PRICES[name] * share for name, share in shares.items()}


def _mean_open(history: History) -> float:
    """Connections to servers that were open, on average over the day."""
    area, is_open, before = 0, 0, 0
    for each in history.connected:
        area += is_open * (each.at - before)
        is_open += 1 if each.opened else -1
        before = each.at
    area += is_open * max(history.last_at - before, 0)
    return area / max(history.last_at, 1)


def _recovery(history: History, by_second: list[float]) -> list[tuple[int, str, float | None]]:
    """For each trouble, from its end to the first of some seconds that are all as good as before any."""
    troubles = history.day.troubles
    if not troubles:
        return []
    before = by_second[: max(troubles[0].at_us // US, 1)]
    wanted = _BACK * sum(before) / len(before)
    out: list[tuple[int, str, float | None]] = []
    for each in troubles:
        end = each.until_us / US
        back = next(
            (
                second
                for second in range(int(end), len(by_second))
                if all(part >= wanted for part in by_second[second : second + _BACK_FOR])
            ),
            None,
        )
        out.append((each.number, each.kind, None if back is None else max(back - end, 0.0)))
    return out
