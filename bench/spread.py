"""Rounds of one figure as samples: the median, and how far the others lie from it."""

from __future__ import annotations

import statistics
from collections.abc import Sequence

from testbed.capacity.samples import Sample

MANY = 1_000  # values from which on a 99th percentile says something


def spread(measure: str, size: float, values: Sequence[float], unit: str, case: str = "rest") -> list[Sample]:
    """Samples of a figure that was taken several times: least, median, greatest; of many the 99th."""
    ordered = sorted(values)
    found = {"min": ordered[0], "median": statistics.median(ordered), "max": ordered[-1]}
    if len(ordered) >= MANY:
        found["p99"] = ordered[int(len(ordered) * 0.99)]
    return [Sample(measure, size, value, unit, case, part) for part, value in found.items()]


def show(found: Sequence[Sample]) -> None:
    """Print samples, all parts of a figure in a line."""
    lines: dict[tuple[str, str, float, str], list[str]] = {}
    for each in found:
        key = each.measure, each.case, each.size, each.unit
        lines.setdefault(key, []).append(f"{each.part} {each.value:.6g}")
    for (measure, case, size, unit), parts in lines.items():
        print(f"{measure} ({case}) at {size:g}: {', '.join(parts)} {unit}")
