"""Fits how a cost grows with size: least squares for four growth laws, with residual and extrapolation."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np

MIN_SIZES = 4
# As a fraction of the largest value.  A smaller residual is a rounding error, which depends on the linear
# algebra library, and counts as zero.
_ROUNDING_ERROR = 1e-12
# A law with a slope is used only if its residual is below this fraction of that of the flat law.
_MAX_RESIDUAL_RATIO = 0.98
# The function of size that the slope is multiplied by, by law.  Of equal residuals the first law is taken.
LAWS: dict[str, Callable[[float], float]] = {
    "flat": lambda _size: 0.0,
    "log N": math.log2,
    "linear": lambda size: size,
    "N log N": lambda size: size * math.log2(size),
}


class FitError(Exception):
    """No curve can be fitted to the points; the text says why."""


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted curve: value = base + slope x law(size)."""

    law: str
    base: float
    slope: float
    residual: float  # standard error of a point: sqrt(sum of squares / degrees of freedom)
    sizes: tuple[float, ...]
    points: int  # their number
    max_range: float  # largest difference between values of the same size

    def at(self, size: float) -> float:
        """Return the fitted value at a size."""
        return self.base + self.slope * LAWS[self.law](size)

    def extrapolation(self, size: float) -> float:
        """Return the ratio of a size to the largest measured size, at least 1."""
        return max(size / self.sizes[-1], 1.0)


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Fit the law with the smallest residual to points of size and value.

    Raises FitError with fewer than four sizes or with a size below 1.
    """
    sizes = tuple(sorted({size for size, _ in points}))
    if len(sizes) < MIN_SIZES:
        raise FitError(f"{len(sizes)} of {MIN_SIZES} sizes")
    if sizes[0] < 1.0:
        raise FitError(f"size {sizes[0]:g} is below 1")
    fits = [_fit_law(law, points, sizes) for law in LAWS]
    flat = fits[0]
    best = min(fits, key=lambda candidate: candidate.residual)
    return best if best.residual < _MAX_RESIDUAL_RATIO * flat.residual else flat


def _fit_law(law: str, points: Sequence[tuple[float, float]], sizes: tuple[float, ...]) -> Fit:
    values = np.array([value for _, value in points])
    columns = [np.ones(len(points))]
    if law != "flat":
        columns.append(np.array([LAWS[law](size) for size, _ in points]))
    # Each column is scaled to a maximum of 1, so that the matrix is as well conditioned at any size.
    scales = [float(np.max(column)) for column in columns]
    matrix = np.stack([column / scale for column, scale in zip(columns, scales, strict=True)], axis=1)
    solution = np.linalg.lstsq(matrix, values, rcond=None)[0]
    residuals = values - matrix @ solution
    residual = math.sqrt(float(residuals @ residuals) / max(len(points) - len(columns), 1))
    if residual < _ROUNDING_ERROR * float(np.max(np.abs(values))):
        residual = 0.0
    weights = [float(weight) / scale for weight, scale in zip(solution, scales, strict=True)]
    slope = weights[1] if law != "flat" else 0.0
    return Fit(law, weights[0], slope, residual, sizes, len(points), _max_range(points, sizes))


def _max_range(points: Sequence[tuple[float, float]], sizes: tuple[float, ...]) -> float:
    ranges = []
    for size in sizes:
        values = [value for point_size, value in points if point_size == size]
        ranges.append(max(values) - min(values))
    return max(ranges)
