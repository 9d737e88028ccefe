"""Variants against the first of them, paired by world and seed, with bootstrap intervals."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np

from testbed.experiment.store import Key
from testbed.scenario.draw import random_stream

RESAMPLES = 2_000
LEVEL = 0.95


@dataclass(frozen=True, slots=True)
class Row:
    """One variant in one world."""

    world: str
    variant: str
    days: int
    broken: int  # days on which a rule was broken
    served: float  # mean over the days
    worth: float
    refused: float
    attempts: float
    p99_ms: float
    ahead: float | None  # worth against the first variant's, mean over pairs; None for the first
    low: float | None  # and its interval
    high: float | None


def interval(values: Sequence[float], subject: str) -> tuple[float, float]:
    """The bootstrap interval of a mean, at 95%; the same for the same values."""
    given = np.asarray(values, dtype=float)
    draws = random_stream(len(given), f"bootstrap.{subject}").integers(
        len(given), size=(RESAMPLES, len(given))
    )
    means = given[draws].mean(axis=1)
    low, high = np.quantile(means, [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    return float(low), float(high)


def compared(results: list[tuple[Key, dict[str, Any]]]) -> list[Row]:
    """A row for each world and variant; a broken day counts as worth 0, as on the bench."""
    by_cell: dict[tuple[str, float, str], dict[int, dict[str, Any]]] = {}
    for key, result in results:
        by_cell.setdefault((key.world, key.rate, key.variant), {})[key.seed] = result
    first: dict[tuple[str, float], str] = {}
    for world, rate, variant in by_cell:
        first.setdefault((world, rate), variant)
    return [
        _row(
            world,
            variant,
            days,
            by_cell[world, rate, first[world, rate]],
            is_first=variant == first[world, rate],
        )
        for (world, rate, variant), days in by_cell.items()
    ]


def worth(result: dict[str, Any]) -> float:
    """What a day counts for: nothing where a rule was broken."""
    return 0.0 if result["verdict"] == "broken" else float(result["worth"])


def _row(
    world: str,
    variant: str,
    days: dict[int, dict[str, Any]],
    base: dict[int, dict[str, Any]],
    *,
    is_first: bool,
) -> Row:
    ahead = low = high = None
    pairs = [worth(days[seed]) - worth(base[seed]) for seed in sorted(days.keys() & base.keys())]
    if not is_first and pairs:
        ahead = float(np.mean(pairs))
        low, high = interval(pairs, f"{world}.{variant}")

    def mean(name: str) -> float:
        return float(np.mean([each[name] for each in days.values()]))

    return Row(
        world=world,
        variant=variant,
        days=len(days),
        broken=sum(each["verdict"] == "broken" for each in days.values()),
        served=mean("served"),
        worth=float(np.mean([worth(each) for each in days.values()])),
        refused=mean("refused"),
        attempts=mean("attempts"),
        p99_ms=float(np.mean([each["latency_ms"].get("p99", 0.0) for each in days.values()])),
        ahead=ahead,
        low=low,
        high=high,
    )


def knee(results: list[tuple[Key, dict[str, Any]]], least: float) -> dict[tuple[str, str], float | None]:
    """For each world and variant the highest rate, of those played upward, up to which `least` is served."""
    served: dict[tuple[str, str], dict[float, list[float]]] = {}
    for key, result in results:
        rates = served.setdefault((key.world, key.variant), {})
        rates.setdefault(key.rate, []).append(float(result["served"]))
    out: dict[tuple[str, str], float | None] = {}
    for cell, rates in served.items():
        out[cell] = None
        for rate in sorted(rates):
            if float(np.mean(rates[rate])) < least:
                break
            out[cell] = rate
    return out
