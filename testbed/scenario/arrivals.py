"""Draws the client requests of a run before it is played.

The load is an open loop: arrivals do not depend on responses, and are the same for every engine and variant.
"""

from __future__ import annotations

import msgspec
import numpy as np

from testbed.scenario.draw import random_stream
from testbed.scenario.scenario_run import US_PER_S, ScenarioRun


class Arrival(msgspec.Struct, frozen=True, array_like=True):
    """A client request: when its first attempt is due, at which replica, and what it asks for."""

    number: int
    at_us: int
    replica: int
    service_class: int  # index into the run's classes
    tenant: int  # index into the run's tenants; -1: none
    key: int
    work_us: int  # processing time on one slot of a server of speed 1


def draw_arrivals(run: ScenarioRun) -> list[Arrival]:
    """Draw all client requests of a run, in order of time."""
    times = _times(run)
    count = len(times)
    replicas = _choices(run, "copies", [replica.share for replica in run.replicas], count)
    classes = _choices(run, "classes", [service_class.share for service_class in run.classes], count)
    tenants = (
        _choices(run, "tenants", [tenant.share for tenant in run.tenants], count)
        if run.tenants
        else np.full(count, -1)
    )
    keys = random_stream(run.seed, "arrivals.keys").zipf(1.2, count) % run.clients.key_count
    mean_us = np.array([service_class.mean_work_us for service_class in run.classes])[classes]
    factor = (
        random_stream(run.seed, "arrivals.work").exponential(1.0, count)
        if run.clients.has_exponential_work
        else 1.0
    )
    work_us = np.maximum(np.rint(mean_us * factor), 1)
    return [
        Arrival(number, *(int(value) for value in values))
        for number, values in enumerate(zip(times, replicas, classes, tenants, keys, work_us, strict=True))
    ]


def _times(run: ScenarioRun) -> np.ndarray:
    """Draw the times of all arrivals, a Poisson process.

    A surge with an amount above 1 adds arrivals; one with an amount below 1 drops each arrival by chance.
    """
    increases = [fault for fault in run.faults if fault.kind == "surge" and fault.amount > 1]
    decreases = [fault for fault in run.faults if fault.kind == "surge" and fault.amount < 1]
    times = _poisson(run, "arrivals.times", 0, run.duration_us, run.clients.rate_per_s)
    for fault in decreases:
        chances = random_stream(run.seed, f"arrivals.lull.{fault.number}").uniform(size=len(times))
        is_kept = (times < fault.start_us) | (times >= fault.end_us) | (chances < fault.amount)
        times = times[is_kept]
    parts = [times]
    for fault in increases:
        end_us = min(fault.end_us, run.duration_us)
        added_rate = run.clients.rate_per_s * (fault.amount - 1)
        parts.append(_poisson(run, f"arrivals.surge.{fault.number}", fault.start_us, end_us, added_rate))
    return np.sort(np.concatenate(parts))


def _poisson(run: ScenarioRun, subject: str, start_us: int, end_us: int, rate_per_s: float) -> np.ndarray:
    """Draw the times of a Poisson process of constant rate between two times, unsorted."""
    generator = random_stream(run.seed, subject)
    span_us = max(end_us - start_us, 0)
    expected = rate_per_s * span_us / US_PER_S
    return start_us + generator.uniform(0, span_us, generator.poisson(expected)).astype(np.int64)


def _choices(run: ScenarioRun, subject: str, shares: list[float], count: int) -> np.ndarray:
    """Draw an index for each of `count` arrivals, by shares that sum to 1."""
    return random_stream(run.seed, f"arrivals.{subject}").choice(len(shares), size=count, p=shares)
