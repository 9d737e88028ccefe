"""docs/capacity.md and its plots from the runs below docs/capacity/ and the rows of rows.toml."""

from __future__ import annotations

import itertools
import re
import statistics
from collections.abc import Iterable, Mapping, Sequence
from typing import get_args

from testbed.capacity.feeds import Feed, Figure, NotMeasuredError, figure
from testbed.capacity.fit import Fit
from testbed.capacity.rows import Filled, Kind, Table, Unfilled, fill
from testbed.capacity.samples import Run
from testbed.report import plots

_PLACE = re.compile(r"\{(\w+)\}")
_OPENING = """# Capacity

What each role costs as the fleet grows, at its size: {sidecars} servers with a sidecar each, in {services}
services, {regions} regions and {zones} zones; {calls_per_s} calls a second, up to {deep} deep, {calls_each} a
sidecar; {changes_a_day} changes of configuration and {restarts_a_day} restarts a day; {machines} machines for
control.

This page is made by `make capacity` from the runs in `docs/capacity/` and the rows in
`testbed/capacity/rows.toml`; no figure of it is typed.

- *measured*: at that size itself, the mean over seeds, with the least and the greatest;
- *worked out*: by a slope, or from several figures by the formula that stands with it;
- *missing*: there is no mechanism.

A row without a valid run, or without four sizes for its slope, is left out and named below. A ratio over 1 is
over the budget. Members in virtual time run the sidecar's own lines; absolute times are those of the run's
machine.
"""
_ABOUT_SLOPES = """## Slopes

Least squares through all runs by four laws (flat, log N to the base of 2, linear, N log N), the one with the
least residual (standard error of a run). Range: the widest of the runs at one size.
"""


def number(value: float) -> str:
    """Three significant digits, without an exponent; large ones with commas."""
    if value == 0 or value != value:
        return "0"
    if value in (float("inf"), float("-inf")):
        return "without bound"
    digits = max(2 - _magnitude(value), 0)
    rounded = round(value, 2 - _magnitude(value))
    text = f"{rounded:,.{digits}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def _magnitude(value: float) -> int:
    return int(f"{value:e}".partition("e")[2])


def render(table: Table, runs: Sequence[Run]) -> str:
    """The whole page as text."""
    filled, unfilled = fill(table, runs)
    places = _places(table, runs)
    given = table.given | {"calls_each": table.given["calls_per_s"] / table.given["sidecars"]}
    opening = _put(_OPENING, {name: number(value) for name, value in given.items()})
    parts = [opening, _covered(table, filled), *_roles(table, filled, places), _absent(table)]
    figures = used(filled)
    if figures:
        parts.append(_slopes(figures))
        parts.append(_pictures(figures))
    parts += [_runs(runs), _not_measured(unfilled), _over(filled)]
    return "\n".join(parts)


def _places(table: Table, runs: Sequence[Run]) -> dict[str, str]:
    """What placeholders stand for: each feed's figure, and what is given."""
    out = {name: number(value) for name, value in table.given.items()}
    for name, text in table.feed.items():
        try:
            out[name] = number(figure(Feed.read(text, table.given["sidecars"]), runs).value)
        except NotMeasuredError:
            out[name] = "(not measured)"
    return out


def _put(text: str, places: Mapping[str, str]) -> str:
    return _PLACE.sub(lambda found: places[found[1]], text)


def _line(cells: Iterable[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _head(*names: str) -> list[str]:
    return [_line(names), _line("---" for _ in names)]


# Rows


def _covered(table: Table, filled: Sequence[Filled]) -> str:
    """Which events have a figure, by role and kind."""
    kinds = get_args(Kind)
    lines = _head("role", *kinds)
    for role in dict.fromkeys(each.role for each in table.row):
        own = [each for each in filled if each.row.role == role and each.how != "missing"]
        cells = [dict.fromkeys(each.row.event for each in own if each.row.kind == kind) for kind in kinds]
        lines.append(_line([role, *("; ".join(each) or "nothing" for each in cells)]))
    return "## What has a figure\n\n" + "\n".join(lines) + "\n"


def _roles(table: Table, filled: Sequence[Filled], places: Mapping[str, str]) -> Iterable[str]:
    """A section for each role, in the declared order."""
    for role, rows in itertools.groupby(filled, key=lambda each: each.row.role):
        at = number(table.given["sidecars"])
        lines = _head("event", "what", "budget", f"at {at}", "ratio", "", "mechanism", "note")
        lines += [_line(_cells(each, places)) for each in rows]
        yield f"## {role[0].upper()}{role[1:]}\n\n" + "\n".join(lines) + "\n"


def _cells(each: Filled, places: Mapping[str, str]) -> list[str]:
    value = "" if each.value is None else f"{number(each.value)} {each.unit}{_range(each)}"
    return [
        each.row.event,
        each.row.what,
        _budget(each),
        value,
        _ratio(each),
        each.how,
        f"`{each.row.file}`",
        _note(each, places),
    ]


def _budget(each: Filled) -> str:
    if each.budget is None:
        return "none given"
    return f"{'at least ' if each.budget.is_least else ''}{number(each.budget.value)} {each.budget.unit}"


def _ratio(each: Filled) -> str:
    return "" if each.ratio is None else number(each.ratio)


def _range(each: Filled) -> str:
    """Least and greatest over runs, where a figure is one that was measured."""
    if each.ends is None:
        return ""
    if each.figures[0].seeds == 1:
        return " (one run)"
    return f" ({number(each.ends[0])} to {number(each.ends[1])} in {each.figures[0].seeds} runs)"


def _note(each: Filled, places: Mapping[str, str]) -> str:
    parts = []
    if each.how == "missing":
        parts.append(each.row.missing)
    if each.row.before:
        parts.append(f"before: {each.row.before}")
    if each.how == "worked out":
        parts.append(f"= `{each.row.figure}`")
        stretches = [own.slope.stretch(own.feed.at) for own in each.figures if own.slope]
        if max(stretches, default=1.0) > 1.0:
            parts.append(f"stretched {number(max(stretches))} times beyond the largest size")
    if each.row.note and each.how != "missing":
        parts.append(_put(each.row.note, places))
    return "; ".join(parts)


def _absent(table: Table) -> str:
    lines = [f"- {each.role}: {each.what}: {each.why}." for each in table.absent]
    return "## What can't be had here\n\n" + "\n".join(lines) + "\n"


# Slopes


def used(filled: Sequence[Filled]) -> list[Figure]:
    """The figures with a slope that rows stand on, each once, by name."""
    by_name = {own.feed.name: own for each in filled for own in each.figures if own.slope is not None}
    return [by_name[name] for name in sorted(by_name)]


def _slopes(figures: Sequence[Figure]) -> str:
    lines = _head("of", "law", "mean by size; runs", "residual", "range", "at", "stretch", "again by")
    lines += [_line(_slope_cells(own, own.slope)) for own in figures if own.slope is not None]
    return "\n".join([_ABOUT_SLOPES, *lines, ""])


def _slope_cells(own: Figure, slope: Fit) -> list[str]:
    means = ", ".join(f"{number(size)}: {number(mean)}" for size, mean in _means(own))
    return [
        own.feed.name,
        f"{_law(slope)} {own.unit}",
        f"{means}; {slope.points}",
        number(slope.residual),
        number(slope.widest),
        number(own.feed.at),
        number(slope.stretch(own.feed.at)),
        ", ".join(f"`{each}`" for each in own.commands),
    ]


def _law(slope: Fit) -> str:
    if slope.law == "flat":
        return number(slope.base)
    sign, times = "-" if slope.slope < 0 else "+", slope.law.replace("linear", "N")
    return f"{number(slope.base)} {sign} {number(abs(slope.slope))} x {times}"


def plot_name(measure: str) -> str:
    """The file name of a measure's plot."""
    return f"{measure.replace('.', '-')}.svg"


def pictures(filled: Sequence[Filled]) -> dict[str, str]:
    """SVG texts by file name: each measure's figures over size, the mean of all runs at one."""
    out = {}
    for measure, group in _by_measure(used(filled)):
        lines = {f"{own.feed.case}, {own.feed.part}, {own.feed.engine}": _means(own) for own in group}
        out[plot_name(measure)] = plots.lines(lines, "size", f"{measure}, {group[0].unit}")
    return out


def _by_measure(figures: Sequence[Figure]) -> list[tuple[str, list[Figure]]]:
    return [
        (measure, list(group)) for measure, group in itertools.groupby(figures, lambda own: own.feed.measure)
    ]


def _means(own: Figure) -> list[tuple[float, float]]:
    return [
        (size, statistics.fmean(value for _, value in group))
        for size, group in itertools.groupby(own.points, lambda point: point[0])
    ]


def _pictures(figures: Sequence[Figure]) -> str:
    names = [measure for measure, _ in _by_measure(figures)]
    return "\n".join(f"![{each} by size](capacity/{plot_name(each)})\n" for each in names)


# What was run, what was not, and what is over


def _runs(runs: Sequence[Run]) -> str:
    lines = _head("run", "again by", "commit", "taken", "machine", "figures", "notes")
    for run in runs:
        notes = run.notes if run.valid else f"not valid, not used: {run.notes}"
        cells = [
            run.name,
            f"`{run.command}`",
            run.commit,
            run.taken,
            run.machine,
            str(len(run.samples)),
            notes,
        ]
        lines.append(_line(each.replace("|", "/").replace("\n", " ") for each in cells))
    return "## Runs\n\n" + "\n".join(lines) + "\n"


def _not_measured(unfilled: Sequence[Unfilled]) -> str:
    lines = [f"- {each.row.role}, {each.row.event}: {each.row.what} ({each.why})" for each in unfilled]
    return "## Not measured\n\n" + ("\n".join(lines) or "Nothing is left out.") + "\n"


def _over(filled: Sequence[Filled]) -> str:
    """What is missing, then what is over its budget, worst first."""
    missing = [each for each in filled if each.how == "missing"]
    over = [(each.ratio, each) for each in filled if each.ratio is not None and each.ratio > 1.0]
    over.sort(key=lambda pair: -pair[0])
    lines = _head("ratio", "role", "event", "what", "budget", "figure", "whose budget")
    for own in missing:
        lines.append(_line(["missing", *_who(own), _budget(own), "", _source(own)]))
    for ratio, own in over:
        shown = f"{number(own.value or 0.0)} {own.unit}"
        lines.append(_line([number(ratio), *_who(own), _budget(own), shown, _source(own)]))
    body = "\n".join(lines) if missing or over else "Nothing."
    return f"## Over budget, worst first\n\n{body}\n"


def _who(each: Filled) -> list[str]:
    return [each.row.role, each.row.event, each.row.what]


def _source(each: Filled) -> str:
    return each.budget.source if each.budget else ""
