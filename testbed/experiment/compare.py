"""Compares variants with the first one, paired by scenario and seed, with bootstrap intervals."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np

from testbed.experiment.store import Key
from testbed.scenario.draw import random_stream

RESAMPLES = 2_000
CONFIDENCE_LEVEL = 0.95


@dataclass(frozen=True, slots=True)
class Row:
    """Results of one variant in one scenario, as means over runs.  The field names are printed as JSON."""

    world: str
    variant: str
    days: int  # scenario runs
    broken: int  # runs with a violated invariant
    served: float  # fraction of client requests
    worth: float  # value served less prices, as a fraction
    refused: float  # fraction of client requests
    attempts: float  # per client request
    p99_ms: float
    ahead: float | None  # mean over pairs of `worth` less that of the first variant; None for the first
    low: float | None  # ends of the bootstrap interval of `ahead`
    high: float | None


def bootstrap_interval(values: Sequence[float], subject: str) -> tuple[float, float]:
    """Return the 95% bootstrap interval of a mean; equal values and subject give an equal interval."""
    sample = np.asarray(values, dtype=float)
    indices = random_stream(len(sample), f"bootstrap.{subject}").integers(
        len(sample), size=(RESAMPLES, len(sample))
    )
    means = sample[indices].mean(axis=1)
    low, high = np.quantile(means, [(1 - CONFIDENCE_LEVEL) / 2, (1 + CONFIDENCE_LEVEL) / 2])
    return float(low), float(high)


def compare_variants(results: list[tuple[Key, dict[str, Any]]]) -> list[Row]:
    """Return a row for each scenario, rate and variant.

    A run with a violated invariant counts with value 0, as in the benches.
    """
    results_by_variant: dict[tuple[str, float, str], dict[int, dict[str, Any]]] = {}
    for key, result in results:
        results_by_variant.setdefault((key.world, key.rate, key.variant), {})[key.seed] = result
    first_variant: dict[tuple[str, float], str] = {}
    for world, rate, variant in results_by_variant:
        first_variant.setdefault((world, rate), variant)
    return [
        _build_row(
            world,
            variant,
            by_seed,
            results_by_variant[world, rate, first_variant[world, rate]],
            is_first=variant == first_variant[world, rate],
        )
        for (world, rate, variant), by_seed in results_by_variant.items()
    ]


def run_value(result: dict[str, Any]) -> float:
    """Return the net value that a run served, or 0 if it violated an invariant."""
    return 0.0 if result["verdict"] == "broken" else float(result["worth"])


def _build_row(
    world: str,
    variant: str,
    by_seed: dict[int, dict[str, Any]],
    base: dict[int, dict[str, Any]],
    *,
    is_first: bool,
) -> Row:
    ahead = low = high = None
    pairs = [
        run_value(by_seed[seed]) - run_value(base[seed]) for seed in sorted(by_seed.keys() & base.keys())
    ]
    if not is_first and pairs:
        ahead = float(np.mean(pairs))
        low, high = bootstrap_interval(pairs, f"{world}.{variant}")

    def mean(name: str) -> float:
        return float(np.mean([result[name] for result in by_seed.values()]))

    return Row(
        world=world,
        variant=variant,
        days=len(by_seed),
        broken=sum(result["verdict"] == "broken" for result in by_seed.values()),
        served=mean("served"),
        worth=float(np.mean([run_value(result) for result in by_seed.values()])),
        refused=mean("refused"),
        attempts=mean("attempts"),
        p99_ms=float(np.mean([result["latency_ms"].get("p99", 0.0) for result in by_seed.values()])),
        ahead=ahead,
        low=low,
        high=high,
    )


def find_knees(
    results: list[tuple[Key, dict[str, Any]]], min_served: float
) -> dict[tuple[str, str], float | None]:
    """Return the knee of each scenario and variant, or None if too little is served at the lowest rate.

    The knee is the highest rate of the results at which, as at all lower ones, at least the fraction
    `min_served` of the requests is served.
    """
    served: dict[tuple[str, str], dict[float, list[float]]] = {}
    for key, result in results:
        rates = served.setdefault((key.world, key.variant), {})
        rates.setdefault(key.rate, []).append(float(result["served"]))
    knees: dict[tuple[str, str], float | None] = {}
    for scenario_and_variant, rates in served.items():
        knees[scenario_and_variant] = None
        for rate in sorted(rates):
            if float(np.mean(rates[rate])) < min_served:
                break
            knees[scenario_and_variant] = rate
    return knees
