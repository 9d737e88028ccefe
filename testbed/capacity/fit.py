"""Slopes: how a cost grows with size, by least squares over four laws, with its spread and its stretch."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np

LEAST_SIZES = 4
_ROUNDING = 1e-12  # part of the largest value; a smaller residual depends on the linear algebra library
_TIE = 0.98  # a law with a slope has to leave less than this part of what a flat one leaves
# Law: what its slope is multiplied by.  The first that leaves as little as any is taken.
LAWS: dict[str, Callable[[float], float]] = {
    "flat": lambda _size: 0.0,
    "log N": math.log2,
    "linear": lambda size: size,
    "N log N": lambda size: size * math.log2(size),
}


class FitError(Exception):
    """There is no slope through these points; the text says why."""


@dataclass(frozen=True, slots=True)
class Fit:
    """value = base + slope x law(size)."""

    law: str
    base: float
    slope: float
    residual: float  # standard error of a point: sqrt(sum of squares / degrees of freedom)
    sizes: tuple[float, ...]
    points: int
    widest: float  # of the ranges of values at one size, the widest

    def at(self, size: float) -> float:
        """The fitted value at a size."""
        return self.base + self.slope * LAWS[self.law](size)

    def stretch(self, size: float) -> float:
        """How far beyond the largest measured size it is used; 1 up to there."""
        return max(size / self.sizes[-1], 1.0)


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """The law with the least residual through (size, value); FitError with fewer than four sizes."""
    sizes = tuple(sorted({size for size, _ in points}))
    if len(sizes) < LEAST_SIZES:
        raise FitError(f"{len(sizes)} of {LEAST_SIZES} sizes")
    if sizes[0] < 1.0:
        raise FitError("a size below one")
    found = [_by(law, points, sizes) for law in LAWS]
    flat = found[0]
    best = min(found, key=lambda each: each.residual)
    return best if best.residual < _TIE * flat.residual else flat


def _by(law: str, points: Sequence[tuple[float, float]], sizes: tuple[float, ...]) -> Fit:
    values = np.array([value for _, value in points])
    columns = [np.ones(len(points))]
    if law != "flat":
        columns.append(np.array([LAWS[law](size) for size, _ in points]))
    # Scaled to one, so that the laws' columns are told apart as well at any size.
    scales = [float(np.max(each)) for each in columns]
    matrix = np.stack([each / scale for each, scale in zip(columns, scales, strict=True)], axis=1)
    found = np.linalg.lstsq(matrix, values, rcond=None)[0]
    left = values - matrix @ found
    residual = math.sqrt(float(left @ left) / max(len(points) - len(columns), 1))
    if residual < _ROUNDING * float(np.max(np.abs(values))):
        residual = 0.0
    weights = [float(each) / scale for each, scale in zip(found, scales, strict=True)]
    slope = weights[1] if law != "flat" else 0.0
    return Fit(law, weights[0], slope, residual, sizes, len(points), _widest(points, sizes))


def _widest(points: Sequence[tuple[float, float]], sizes: tuple[float, ...]) -> float:
    ranges = []
    for size in sizes:
        own = [value for other, value in points if other == size]
        ranges.append(max(own) - min(own))
    return max(ranges)
