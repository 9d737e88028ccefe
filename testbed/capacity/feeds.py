"""What feeds the page's rows: each feed names samples; from these a figure at one size, and its slope."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass, replace

from testbed.capacity.fit import Fit, FitError, fit
from testbed.capacity.samples import Run, Sample


class NotMeasuredError(Exception):
    """There is no figure; the text says why."""


@dataclass(frozen=True, slots=True)
class Feed:
    """Samples of one measure, case, part and engine; `is_alone`: no slope is asked of them.

    Of several engines (`real/hollow`) the first that has valid samples is taken.
    """

    measure: str
    case: str
    part: str
    engine: str
    at: float
    is_alone: bool = False

    @staticmethod
    def read(text: str, at: float) -> Feed:
        """Parse "measure | case | part | engine", and perhaps "| at SIZE" or "| alone at SIZE"; else `at`."""
        measure, case, part, engine, *rest = [each.strip() for each in text.split("|")]
        is_alone = bool(rest) and rest[0].startswith("alone")
        size = float(rest[0].rsplit(" ", 1)[1]) if rest else at
        return Feed(measure, case, part, engine, size, is_alone)

    def takes(self, sample: Sample) -> bool:
        """Whether a sample has the feed's measure, case and part, and one of its engines."""
        own = self.measure, self.case, self.part
        return own == (sample.measure, sample.case, sample.part) and sample.engine in self.engines

    @property
    def engines(self) -> list[str]:
        """The engines that the feed accepts."""
        return self.engine.split("/")

    @property
    def name(self) -> str:
        """The feed as shown in tables and errors."""
        return f"{self.measure}, {self.case}, {self.part}, {self.engine}"


@dataclass(frozen=True, slots=True)
class Figure:
    """What a feed gives."""

    feed: Feed
    value: float
    unit: str
    is_measured: bool  # at that very size; else by its slope
    least: float  # of the values at that size; by slope, a residual below
    most: float
    seeds: int  # runs at that size, or at the largest
    slope: Fit | None
    points: tuple[tuple[float, float], ...]
    commands: tuple[str, ...]


def figure(feed: Feed, runs: Sequence[Run]) -> Figure:
    """The figure of a feed from valid runs alone; raise NotMeasuredError."""
    found = [(run, sample) for run in runs for sample in run.samples if feed.takes(sample)]
    if not found:
        raise NotMeasuredError("no sample of it")
    valid = [(run, sample) for run, sample in found if run.valid]
    if not valid:
        raise NotMeasuredError("no valid run")
    engine = min((sample.engine for _, sample in valid), key=feed.engines.index)
    feed = replace(feed, engine=engine)
    used = [(run, sample) for run, sample in valid if sample.engine == engine]
    points = tuple(sorted((sample.size, sample.value) for _, sample in used))
    here = [value for size, value in points if size == feed.at]
    slope = _slope(feed, points, is_here=bool(here))
    if here:
        value, least, most = statistics.fmean(here), min(here), max(here)
    else:
        assert slope is not None  # _slope has raised otherwise
        value = slope.at(feed.at)
        least, most = value - slope.residual, value + slope.residual
    return Figure(
        feed=feed,
        value=value,
        unit=used[0][1].unit,
        is_measured=bool(here),
        least=least,
        most=most,
        seeds=len(here) or sum(size == points[-1][0] for size, _ in points),
        slope=slope,
        points=points,
        commands=tuple(dict.fromkeys(run.command for run, _ in used)),
    )


def _slope(feed: Feed, points: Sequence[tuple[float, float]], *, is_here: bool) -> Fit | None:
    """Through four sizes or more; none where it is not asked for and the size itself was measured."""
    if feed.is_alone:
        if not is_here:
            raise NotMeasuredError(f"not at {feed.at:g}")
        return None
    try:
        return fit([(size, value) for size, value in points if size >= 1.0])  # none has no logarithm
    except FitError as fault:
        raise NotMeasuredError(str(fault)) from None
