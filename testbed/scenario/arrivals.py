"""The requests of a day, drawn ahead: open loop, the same for every engine and variant."""

from __future__ import annotations

import msgspec
import numpy as np

from testbed.scenario.draw import random_stream
from testbed.scenario.scenario_run import US_PER_S, ScenarioRun


class Arrival(msgspec.Struct, frozen=True, array_like=True):
    """A first try: when it is due, at whose application, and what it asks for."""

    number: int
    at_us: int
    replica: int
    service_class: int  # its place among the day's
    tenant: int  # the same; -1: none
    key: int
    work_us: int  # on one slot of speed 1


def draw_arrivals(day: ScenarioRun) -> list[Arrival]:
    """All first tries of a day, in order of time."""
    at = _times(day)
    count = len(at)
    copies = _picked(day, "copies", [each.share for each in day.replicas], count)
    classes = _picked(day, "classes", [each.share for each in day.classes], count)
    tenants = (
        _picked(day, "tenants", [each.share for each in day.tenants], count)
        if day.tenants
        else np.full(count, -1)
    )
    keys = random_stream(day.seed, "arrivals.keys").zipf(1.2, count) % day.clients.key_count
    mean = np.array([each.mean_work_us for each in day.classes])[classes]
    factor = (
        random_stream(day.seed, "arrivals.work").exponential(1.0, count)
        if day.clients.has_exponential_work
        else 1.0
    )
    work = np.maximum(np.rint(mean * factor), 1)
    return [
        Arrival(number, *(int(part) for part in parts))
        for number, parts in enumerate(zip(at, copies, classes, tenants, keys, work, strict=True))
    ]


def _times(day: ScenarioRun) -> np.ndarray:
    """Poisson arrivals; a surge adds its own."""
    surges = [each for each in day.faults if each.kind == "surge" and each.amount > 1]
    lulls = [each for each in day.faults if each.kind == "surge" and each.amount < 1]
    at = _poisson(day, "arrivals.times", 0, day.duration_us, day.clients.rate_per_s)
    for each in lulls:
        chance = random_stream(day.seed, f"arrivals.lull.{each.number}").uniform(size=len(at))
        at = at[(at < each.start_us) | (at >= each.end_us) | (chance < each.amount)]
    parts = [at]
    for each in surges:
        until_us = min(each.end_us, day.duration_us)
        rate = day.clients.rate_per_s * (each.amount - 1)
        parts.append(_poisson(day, f"arrivals.surge.{each.number}", each.start_us, until_us, rate))
    return np.sort(np.concatenate(parts))


def _poisson(day: ScenarioRun, subject: str, begin_us: int, end_us: int, rate_per_s: float) -> np.ndarray:
    draw = random_stream(day.seed, subject)
    expected = rate_per_s * max(end_us - begin_us, 0) / US_PER_S
    return begin_us + draw.uniform(0, max(end_us - begin_us, 0), draw.poisson(expected)).astype(np.int64)


def _picked(day: ScenarioRun, subject: str, shares: list[float], count: int) -> np.ndarray:
    return random_stream(day.seed, f"arrivals.{subject}").choice(len(shares), size=count, p=shares)
