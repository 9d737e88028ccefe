"""The requests of a day, drawn ahead: open loop, the same for every engine and variant."""

from __future__ import annotations

import msgspec
import numpy as np

from testbed.scenario.day import US, Day
from testbed.scenario.draw import stream


class Arrival(msgspec.Struct, frozen=True, array_like=True):
    """A first try: when it is due, at whose application, and what it asks for."""

    number: int
    at_us: int
    copy: int
    service_class: int  # its place among the day's
    tenant: int  # the same; -1: none
    key: int
    work_us: int  # on one slot of speed 1


def arrivals(day: Day) -> list[Arrival]:
    """All first tries of a day, in order of time."""
    at = _times(day)
    count = len(at)
    copies = _picked(day, "copies", [each.share for each in day.copies], count)
    classes = _picked(day, "classes", [each.share for each in day.classes], count)
    tenants = (
        _picked(day, "tenants", [each.share for each in day.tenants], count)
        if day.tenants
        else np.full(count, -1)
    )
    keys = stream(day.seed, "arrivals.keys").zipf(1.2, count) % day.clients.keys
    mean = np.array([each.work_us for each in day.classes])[classes]
    factor = stream(day.seed, "arrivals.work").exponential(1.0, count) if day.clients.exponential else 1.0
    work = np.maximum(np.rint(mean * factor), 1)
    return [
        Arrival(number, *(int(part) for part in parts))
        for number, parts in enumerate(zip(at, copies, classes, tenants, keys, work, strict=True))
    ]


def _times(day: Day) -> np.ndarray:
    """Poisson arrivals; a surge adds its own."""
    surges = [each for each in day.troubles if each.kind == "surge" and each.amount > 1]
    lulls = [each for each in day.troubles if each.kind == "surge" and each.amount < 1]
    at = _poisson(day, "arrivals.times", 0, day.length_us, day.clients.rate_per_s)
    for each in lulls:
        chance = stream(day.seed, f"arrivals.lull.{each.number}").uniform(size=len(at))
        at = at[(at < each.at_us) | (at >= each.until_us) | (chance < each.amount)]
    parts = [at]
    for each in surges:
        until_us = min(each.until_us, day.length_us)
        rate = day.clients.rate_per_s * (each.amount - 1)
        parts.append(_poisson(day, f"arrivals.surge.{each.number}", each.at_us, until_us, rate))
    return np.sort(np.concatenate(parts))


def _poisson(day: Day, subject: str, begin_us: int, end_us: int, rate_per_s: float) -> np.ndarray:
    draw = stream(day.seed, subject)
    expected = rate_per_s * max(end_us - begin_us, 0) / US
    return begin_us + draw.uniform(0, max(end_us - begin_us, 0), draw.poisson(expected)).astype(np.int64)


def _picked(day: Day, subject: str, shares: list[float], count: int) -> np.ndarray:
    return stream(day.seed, f"arrivals.{subject}").choice(len(shares), size=count, p=shares)
