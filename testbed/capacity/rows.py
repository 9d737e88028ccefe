"""Rows of the capacity page: declared in rows.toml, computed from the capacity runs."""

from __future__ import annotations

import ast
import operator
import tomllib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Literal

import msgspec

from testbed.capacity.feeds import Feed, Figure, NotMeasuredError, compute_figure
from testbed.capacity.samples import Run

TABLE = Path(__file__).with_name("rows.toml")


Kind = Literal["time", "messages", "processor time", "memory", "state"]


class TableError(Exception):
    """rows.toml is not valid; the text names the row."""


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limit of a figure: a maximum, or a minimum with `is_least`."""

    value: float
    unit: str
    source: str
    is_least: bool = False


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One row as declared; `figure` is an expression over names of feeds and of given values."""

    role: str
    event: str
    what: str
    kind: Kind
    file: str  # source file of the mechanism
    figure: str = ""
    budget: str = ""  # name of a budget; empty: none was given
    unit: str = ""  # of the figure, if it has no budget
    note: str = ""
    before: str = ""  # state before this mechanism existed
    missing: str = ""  # why there is no mechanism


class Absent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A figure that can't be measured with this test bed."""

    role: str
    what: str
    why: str


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of rows.toml."""

    given: dict[str, float]  # properties of the deployment, as its operators state them
    budget: dict[str, Budget]
    feed: dict[str, str]  # see Feed.read
    row: list[Row]
    absent: list[Absent]


@dataclass(frozen=True, slots=True)
class ComputedRow:
    """A row with its figure; `how` is "measured", "worked out" or "missing"."""

    row: Row
    budget: Budget | None
    value: float | None
    unit: str
    how: str
    figures: tuple[Figure, ...]
    value_range: tuple[float, float] | None = None  # lowest and highest over runs, if measured

    @property
    def ratio(self) -> float | None:
        """Ratio to the budget, over 1 if the budget is exceeded; None without a figure or a budget."""
        if self.value is None or self.budget is None:
            return None
        if not self.budget.is_least:
            return self.value / self.budget.value
        return self.budget.value / self.value if self.value else float("inf")


@dataclass(frozen=True, slots=True)
class UnmeasuredRow:
    """A row without a figure, since a feed has no usable samples."""

    row: Row
    reason: str


def read_table(path: Path = TABLE) -> Table:
    """Read the declared rows; raise TableError if the file or a row is not valid."""
    try:
        table = msgspec.convert(tomllib.loads(path.read_text()), Table)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise TableError(f"{path.name}: {error}") from None
    for row in table.row:
        unknown = names_in(row.figure) - set(table.feed) - set(table.given)
        if bool(row.figure) is bool(row.missing):
            raise TableError(f"{row.role}, {row.what}: give either a figure or why it is missing")
        if unknown or (row.budget and row.budget not in table.budget):
            raise TableError(f"{row.role}, {row.what}: unknown {', '.join(sorted(unknown)) or row.budget}")
    return table


def compute_rows(table: Table, runs: Sequence[Run]) -> tuple[list[ComputedRow], list[UnmeasuredRow]]:
    """Return rows with a figure or without a mechanism, and rows not measured, each in the declared order."""
    computed: list[ComputedRow] = []
    unmeasured: list[UnmeasuredRow] = []
    for row in table.row:
        budget = table.budget.get(row.budget)
        unit = row.unit or (budget.unit if budget else "")
        if row.missing:
            computed.append(ComputedRow(row, budget, None, unit, "missing", ()))
            continue
        try:
            figures = _compute_figures(row, table, runs)
        except NotMeasuredError as error:
            unmeasured.append(UnmeasuredRow(row, str(error)))
            continue
        known = table.given | {name: figure.value for name, figure in figures.items()}
        value = evaluate(row.figure, known)
        value_range = _value_range(row, figures)
        how = "measured" if value_range is not None else "worked out"
        computed.append(ComputedRow(row, budget, value, unit, how, tuple(figures.values()), value_range))
    return computed, unmeasured


def _compute_figures(row: Row, table: Table, runs: Sequence[Run]) -> dict[str, Figure]:
    """Return the figures of the feeds in the row's expression; raise NotMeasuredError that names the feed."""
    figures_by_name = {}
    for name in sorted(names_in(row.figure) & set(table.feed)):
        feed = Feed.read(table.feed[name], table.given["sidecars"])
        try:
            figures_by_name[name] = compute_figure(feed, runs)
        except NotMeasuredError as error:
            raise NotMeasuredError(f"{feed.name}: {error}") from None
    return figures_by_name


def _value_range(row: Row, figures: Mapping[str, Figure]) -> tuple[float, float] | None:
    """Return the lowest and highest value of a row that is one measured figure, perhaps in another unit.

    Returns None for a row of several figures, of given values, or of a figure that was not measured.
    """
    if names_in(row.figure) != set(figures) or len(figures) != 1:
        return None
    ((name, figure),) = figures.items()
    if not figure.is_measured:
        return None
    ends = [evaluate(row.figure, {name: value}) for value in (figure.least, figure.most)]
    return min(ends), max(ends)


# Expressions: + - * / max min over names and numbers

_BINARY: dict[type[ast.operator], Callable[[float, float], float]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
}
_CALLS: dict[str, Callable[..., float]] = {"max": max, "min": min}


def names_in(expression: str) -> set[str]:
    """Return the names of feeds and given values in an expression."""
    if not expression:
        return set()
    names = {node.id for node in ast.walk(ast.parse(expression, mode="eval")) if isinstance(node, ast.Name)}
    return names - set(_CALLS)


def evaluate(expression: str, known: Mapping[str, float]) -> float:
    """Return the value of an expression; raise TableError on an unknown name or any other syntax."""

    def value(node: ast.expr) -> float:
        match node:
            case ast.Constant(value=int() | float() as number):
                return float(number)
            case ast.Name(id=name) if name in known:
                return known[name]
            case ast.BinOp(left=left, op=op, right=right) if type(op) in _BINARY:
                return _BINARY[type(op)](value(left), value(right))
            case ast.Call(func=ast.Name(id=name), args=[_, _, *_] as arguments) if name in _CALLS:
                return _CALLS[name](*map(value, arguments))
        raise TableError(
            f"{expression}: {ast.unparse(node)} is not a number, a known name, + - * /, max or min"
        )

    return value(ast.parse(expression, mode="eval").body)
