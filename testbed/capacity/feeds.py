"""Feeds select samples of the capacity runs and give a figure at one size, with the curve fitted to them."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass, replace

from testbed.capacity.fit import Fit, FitError, fit
from testbed.capacity.samples import Run, Sample


class NotMeasuredError(Exception):
    """A feed has no usable samples; the text says why."""


@dataclass(frozen=True, slots=True)
class Feed:
    """Selects the samples of one measure, case, part and engine.

    Of several engines (`real/hollow`) the first that has valid samples is used.
    """

    measure: str
    case: str
    part: str
    engine: str
    size: float  # at which the figure is wanted
    is_single_size: bool = False  # the figure has to be measured at that size; no curve is fitted

    @staticmethod
    def read(text: str, default_size: float) -> Feed:
        """Parse "measure | case | part | engine", optionally followed by "| at SIZE" or "| alone at SIZE".

        Without a size in the text, the figure is wanted at `default_size`.
        """
        measure, case, part, engine, *rest = [field.strip() for field in text.split("|")]
        is_single_size = bool(rest) and rest[0].startswith("alone")
        size = float(rest[0].rsplit(" ", 1)[1]) if rest else default_size
        return Feed(measure, case, part, engine, size, is_single_size)

    def selects(self, sample: Sample) -> bool:
        """Whether a sample has the feed's measure, case and part, and one of its engines."""
        identity = self.measure, self.case, self.part
        return identity == (sample.measure, sample.case, sample.part) and sample.engine in self.engines

    @property
    def engines(self) -> list[str]:
        """The accepted engines, the preferred one first."""
        return self.engine.split("/")

    @property
    def name(self) -> str:
        """The feed as shown in tables and errors."""
        return f"{self.measure}, {self.case}, {self.part}, {self.engine}"


@dataclass(frozen=True, slots=True)
class Figure:
    """The figure of a feed at its size, and the samples that it comes from."""

    feed: Feed
    value: float
    unit: str
    is_measured: bool  # at the size of the feed; else computed from the fitted curve
    least: float  # lowest value measured at that size; from the curve, `value` less the residual
    most: float  # highest value measured at that size; from the curve, `value` plus the residual
    seeds: int  # samples at that size, or at the largest measured size if there are none
    curve: Fit | None
    points: tuple[tuple[float, float], ...]  # size and value of each sample
    commands: tuple[str, ...]  # that repeat the runs


def compute_figure(feed: Feed, runs: Sequence[Run]) -> Figure:
    """Return the figure of a feed from valid runs; raise NotMeasuredError if there is none."""
    selected = [(run, sample) for run in runs for sample in run.samples if feed.selects(sample)]
    if not selected:
        raise NotMeasuredError("no sample of it")
    valid = [(run, sample) for run, sample in selected if run.valid]
    if not valid:
        raise NotMeasuredError("no valid run")
    engine = min((sample.engine for _, sample in valid), key=feed.engines.index)
    feed = replace(feed, engine=engine)
    used = [(run, sample) for run, sample in valid if sample.engine == engine]
    points = tuple(sorted((sample.size, sample.value) for _, sample in used))
    values_at_size = [value for size, value in points if size == feed.size]
    curve = _fit_curve(feed, points, is_measured=bool(values_at_size))
    if values_at_size:
        value, least, most = statistics.fmean(values_at_size), min(values_at_size), max(values_at_size)
    else:
        assert curve is not None  # otherwise _fit_curve has raised
        value = curve.at(feed.size)
        least, most = value - curve.residual, value + curve.residual
    return Figure(
        feed=feed,
        value=value,
        unit=used[0][1].unit,
        is_measured=bool(values_at_size),
        least=least,
        most=most,
        seeds=len(values_at_size) or sum(size == points[-1][0] for size, _ in points),
        curve=curve,
        points=points,
        commands=tuple(dict.fromkeys(run.command for run, _ in used)),
    )


def _fit_curve(feed: Feed, points: Sequence[tuple[float, float]], *, is_measured: bool) -> Fit | None:
    """Fit a curve through four sizes or more; return None for a feed of a single size.

    Raises NotMeasuredError if there are too few sizes, or if a single size was not measured.
    """
    if feed.is_single_size:
        if not is_measured:
            raise NotMeasuredError(f"not at {feed.size:g}")
        return None
    try:
        return fit([(size, value) for size, value in points if size >= 1.0])  # log N needs N >= 1
    except FitError as error:
        raise NotMeasuredError(str(error)) from None
