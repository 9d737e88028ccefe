"""Renders docs/capacity.md and its plots from the runs in docs/capacity/ and the rows of rows.toml."""

from __future__ import annotations

import itertools
import re
import statistics
from collections.abc import Iterable, Mapping, Sequence
from typing import get_args

from testbed.capacity.feeds import Feed, Figure, NotMeasuredError, compute_figure
from testbed.capacity.fit import Fit
from testbed.capacity.rows import ComputedRow, Kind, Table, UnmeasuredRow, compute_rows
from testbed.capacity.samples import Run
from testbed.report import plots

_PLACEHOLDER = re.compile(r"\{(\w+)\}")
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


def format_number(value: float) -> str:
    """Format a number with three significant digits, without an exponent and with commas at thousands."""
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
    """Return the page as Markdown text."""
    computed, unmeasured = compute_rows(table, runs)
    placeholders = _placeholder_values(table, runs)
    values = table.given | {"calls_each": table.given["calls_per_s"] / table.given["sidecars"]}
    opening = _fill_in(_OPENING, {name: format_number(value) for name, value in values.items()})
    parts = [opening, _coverage(table, computed), *_roles(table, computed, placeholders), _absent(table)]
    figures = fitted_figures(computed)
    if figures:
        parts.append(_slopes(figures))
        parts.append(_plot_links(figures))
    parts += [_runs(runs), _not_measured(unmeasured), _over_budget(computed)]
    return "\n".join(parts)


def _placeholder_values(table: Table, runs: Sequence[Run]) -> dict[str, str]:
    """Return the text for each placeholder: the figures of feeds, and the given values."""
    texts = {name: format_number(value) for name, value in table.given.items()}
    for name, text in table.feed.items():
        try:
            texts[name] = format_number(compute_figure(Feed.read(text, table.given["sidecars"]), runs).value)
        except NotMeasuredError:
            texts[name] = "(not measured)"
    return texts


def _fill_in(text: str, placeholders: Mapping[str, str]) -> str:
    return _PLACEHOLDER.sub(lambda match: placeholders[match[1]], text)


def _table_line(cells: Iterable[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _table_head(*names: str) -> list[str]:
    return [_table_line(names), _table_line("---" for _ in names)]


# Rows


def _coverage(table: Table, computed: Sequence[ComputedRow]) -> str:
    """Return the section that lists, by role and kind, the events that have a figure."""
    kinds = get_args(Kind)
    lines = _table_head("role", *kinds)
    for role in dict.fromkeys(row.role for row in table.row):
        rows = [row for row in computed if row.row.role == role and row.how != "missing"]
        events_by_kind = [
            dict.fromkeys(row.row.event for row in rows if row.row.kind == kind) for kind in kinds
        ]
        lines.append(_table_line([role, *("; ".join(events) or "nothing" for events in events_by_kind)]))
    return "## What has a figure\n\n" + "\n".join(lines) + "\n"


def _roles(table: Table, computed: Sequence[ComputedRow], placeholders: Mapping[str, str]) -> Iterable[str]:
    """Yield a section for each role, in the declared order."""
    for role, rows in itertools.groupby(computed, key=lambda row: row.row.role):
        size = format_number(table.given["sidecars"])
        lines = _table_head("event", "what", "budget", f"at {size}", "ratio", "", "mechanism", "note")
        lines += [_table_line(_cells(row, placeholders)) for row in rows]
        yield f"## {role[0].upper()}{role[1:]}\n\n" + "\n".join(lines) + "\n"


def _cells(computed: ComputedRow, placeholders: Mapping[str, str]) -> list[str]:
    value = (
        "" if computed.value is None else f"{format_number(computed.value)} {computed.unit}{_range(computed)}"
    )
    return [
        computed.row.event,
        computed.row.what,
        _budget(computed),
        value,
        _ratio(computed),
        computed.how,
        f"`{computed.row.file}`",
        _note(computed, placeholders),
    ]


def _budget(computed: ComputedRow) -> str:
    if computed.budget is None:
        return "none given"
    prefix = "at least " if computed.budget.is_least else ""
    return f"{prefix}{format_number(computed.budget.value)} {computed.budget.unit}"


def _ratio(computed: ComputedRow) -> str:
    return "" if computed.ratio is None else format_number(computed.ratio)


def _range(computed: ComputedRow) -> str:
    """Return the range over runs as text; empty unless the row is one measured figure."""
    if computed.value_range is None:
        return ""
    if computed.figures[0].seeds == 1:
        return " (one run)"
    low, high = map(format_number, computed.value_range)
    return f" ({low} to {high} in {computed.figures[0].seeds} runs)"


def _note(computed: ComputedRow, placeholders: Mapping[str, str]) -> str:
    parts = []
    if computed.how == "missing":
        parts.append(computed.row.missing)
    if computed.row.before:
        parts.append(f"before: {computed.row.before}")
    if computed.how == "worked out":
        parts.append(f"= `{computed.row.figure}`")
        extrapolations = [
            figure.curve.extrapolation(figure.feed.size) for figure in computed.figures if figure.curve
        ]
        if max(extrapolations, default=1.0) > 1.0:
            parts.append(f"stretched {format_number(max(extrapolations))} times beyond the largest size")
    if computed.row.note and computed.how != "missing":
        parts.append(_fill_in(computed.row.note, placeholders))
    return "; ".join(parts)


def _absent(table: Table) -> str:
    lines = [f"- {absent.role}: {absent.what}: {absent.why}." for absent in table.absent]
    return "## What can't be had here\n\n" + "\n".join(lines) + "\n"


# Slopes


def fitted_figures(computed: Sequence[ComputedRow]) -> list[Figure]:
    """Return the figures of rows that have a fitted curve, without duplicates, sorted by feed name."""
    by_name = {
        figure.feed.name: figure for row in computed for figure in row.figures if figure.curve is not None
    }
    return [by_name[name] for name in sorted(by_name)]


def _slopes(figures: Sequence[Figure]) -> str:
    lines = _table_head("of", "law", "mean by size; runs", "residual", "range", "at", "stretch", "again by")
    lines += [
        _table_line(_slope_cells(figure, figure.curve)) for figure in figures if figure.curve is not None
    ]
    return "\n".join([_ABOUT_SLOPES, *lines, ""])


def _slope_cells(figure: Figure, curve: Fit) -> list[str]:
    means = ", ".join(f"{format_number(size)}: {format_number(mean)}" for size, mean in _means(figure))
    return [
        figure.feed.name,
        f"{_format_law(curve)} {figure.unit}",
        f"{means}; {curve.points}",
        format_number(curve.residual),
        format_number(curve.max_range),
        format_number(figure.feed.size),
        format_number(curve.extrapolation(figure.feed.size)),
        ", ".join(f"`{command}`" for command in figure.commands),
    ]


def _format_law(curve: Fit) -> str:
    if curve.law == "flat":
        return format_number(curve.base)
    sign, times = "-" if curve.slope < 0 else "+", curve.law.replace("linear", "N")
    return f"{format_number(curve.base)} {sign} {format_number(abs(curve.slope))} x {times}"


def plot_name(measure: str) -> str:
    """Return the file name of the plot of a measure."""
    return f"{measure.replace('.', '-')}.svg"


def render_plots(computed: Sequence[ComputedRow]) -> dict[str, str]:
    """Return SVG texts by file name: a plot for each measure, with the mean of all runs at each size."""
    svg_by_name = {}
    for measure, group in _by_measure(fitted_figures(computed)):
        lines = {
            f"{figure.feed.case}, {figure.feed.part}, {figure.feed.engine}": _means(figure)
            for figure in group
        }
        svg_by_name[plot_name(measure)] = plots.lines(lines, "size", f"{measure}, {group[0].unit}")
    return svg_by_name


def _by_measure(figures: Sequence[Figure]) -> list[tuple[str, list[Figure]]]:
    return [
        (measure, list(group))
        for measure, group in itertools.groupby(figures, lambda figure: figure.feed.measure)
    ]


def _means(figure: Figure) -> list[tuple[float, float]]:
    return [
        (size, statistics.fmean(value for _, value in group))
        for size, group in itertools.groupby(figure.points, lambda point: point[0])
    ]


def _plot_links(figures: Sequence[Figure]) -> str:
    names = [measure for measure, _ in _by_measure(figures)]
    return "\n".join(f"![{measure} by size](capacity/{plot_name(measure)})\n" for measure in names)


# Runs, figures that were not measured, and exceeded budgets


def _runs(runs: Sequence[Run]) -> str:
    lines = _table_head("run", "again by", "commit", "taken", "machine", "figures", "notes")
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
        lines.append(_table_line(cell.replace("|", "/").replace("\n", " ") for cell in cells))
    return "## Runs\n\n" + "\n".join(lines) + "\n"


def _not_measured(unmeasured: Sequence[UnmeasuredRow]) -> str:
    lines = [
        f"- {missing.row.role}, {missing.row.event}: {missing.row.what} ({missing.reason})"
        for missing in unmeasured
    ]
    return "## Not measured\n\n" + ("\n".join(lines) or "Nothing is left out.") + "\n"


def _over_budget(computed: Sequence[ComputedRow]) -> str:
    """Return the section with rows without a mechanism, then rows over their budget, worst first."""
    missing = [row for row in computed if row.how == "missing"]
    over = [(row.ratio, row) for row in computed if row.ratio is not None and row.ratio > 1.0]
    over.sort(key=lambda pair: -pair[0])
    lines = _table_head("ratio", "role", "event", "what", "budget", "figure", "whose budget")
    for row in missing:
        lines.append(_table_line(["missing", *_identity_cells(row), _budget(row), "", _source(row)]))
    for ratio, row in over:
        shown = f"{format_number(row.value or 0.0)} {row.unit}"
        lines.append(
            _table_line([format_number(ratio), *_identity_cells(row), _budget(row), shown, _source(row)])
        )
    body = "\n".join(lines) if missing or over else "Nothing."
    return f"## Over budget, worst first\n\n{body}\n"


def _identity_cells(computed: ComputedRow) -> list[str]:
    return [computed.row.role, computed.row.event, computed.row.what]


def _source(computed: ComputedRow) -> str:
    return computed.budget.source if computed.budget else ""
