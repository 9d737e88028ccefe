"""The page's rows as declared in rows.toml, each with its figure from the runs, or why it has none."""

from __future__ import annotations

import ast
import operator
import tomllib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Literal

import msgspec

from testbed.capacity.feeds import Feed, Figure, NotMeasuredError, figure
from testbed.capacity.samples import Run

TABLE = Path(__file__).with_name("rows.toml")


Kind = Literal["time", "messages", "processor time", "memory", "state"]


class TableError(Exception):
    """rows.toml says what it can't; the text names the row."""


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a figure may be at the most, or is to be at the least."""

    value: float
    unit: str
    source: str
    is_least: bool = False


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One row as declared; `figure` is an expression over feeds and what is given."""

    role: str
    event: str
    what: str
    kind: Kind
    file: str  # of the mechanism
    figure: str = ""
    budget: str = ""  # by name; none was given where empty
    unit: str = ""  # of the figure where no budget says it
    note: str = ""
    before: str = ""  # what there was until this mechanism
    missing: str = ""  # why there is no mechanism


class Absent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A figure that can't be had here."""

    role: str
    what: str
    why: str


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All of rows.toml."""

    given: dict[str, float]  # what the operators say of the fleet
    budget: dict[str, Budget]
    feed: dict[str, str]  # see Feed.read
    row: list[Row]
    absent: list[Absent]


@dataclass(frozen=True, slots=True)
class Filled:
    """A row with its figure; `how` is "measured", "worked out" or "missing"."""

    row: Row
    budget: Budget | None
    value: float | None
    unit: str
    how: str
    figures: tuple[Figure, ...]
    ends: tuple[float, float] | None = None  # least and greatest over runs, of one that was measured

    @property
    def ratio(self) -> float | None:
        """To the budget: over one is over it; None where there is no figure or no budget."""
        if self.value is None or self.budget is None:
            return None
        if not self.budget.is_least:
            return self.value / self.budget.value
        return self.budget.value / self.value if self.value else float("inf")


@dataclass(frozen=True, slots=True)
class Unfilled:
    """A row that has no run to stand on."""

    row: Row
    why: str


def read_table(path: Path = TABLE) -> Table:
    """Read the declared rows; raise TableError on nonsense."""
    try:
        table = msgspec.convert(tomllib.loads(path.read_text()), Table)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as fault:
        raise TableError(f"{path.name}: {fault}") from None
    for row in table.row:
        unknown = names_in(row.figure) - set(table.feed) - set(table.given)
        if bool(row.figure) is bool(row.missing):
            raise TableError(f"{row.role}, {row.what}: either a figure or why it is missing")
        if unknown or (row.budget and row.budget not in table.budget):
            raise TableError(f"{row.role}, {row.what}: unknown {', '.join(sorted(unknown)) or row.budget}")
    return table


def fill(table: Table, runs: Sequence[Run]) -> tuple[list[Filled], list[Unfilled]]:
    """Every row with its figure, and those that have none with the reason, in the declared order."""
    filled: list[Filled] = []
    unfilled: list[Unfilled] = []
    for row in table.row:
        budget = table.budget.get(row.budget)
        unit = row.unit or (budget.unit if budget else "")
        if row.missing:
            filled.append(Filled(row, budget, None, unit, "missing", ()))
            continue
        try:
            figures = _figures(row, table, runs)
        except NotMeasuredError as why:
            unfilled.append(Unfilled(row, str(why)))
            continue
        known = table.given | {name: each.value for name, each in figures.items()}
        value = evaluated(row.figure, known)
        ends = _ends(row, figures)
        how = "measured" if ends is not None else "worked out"
        filled.append(Filled(row, budget, value, unit, how, tuple(figures.values()), ends))
    return filled, unfilled


def _figures(row: Row, table: Table, runs: Sequence[Run]) -> dict[str, Figure]:
    """What the row's expression needs; raise NotMeasuredError, naming the feed."""
    found = {}
    for name in sorted(names_in(row.figure) & set(table.feed)):
        feed = Feed.read(table.feed[name], table.given["sidecars"])
        try:
            found[name] = figure(feed, runs)
        except NotMeasuredError as why:
            raise NotMeasuredError(f"{feed.name}: {why}") from None
    return found


def _ends(row: Row, figures: Mapping[str, Figure]) -> tuple[float, float] | None:
    """Least and greatest of a row that is one measured figure, be it in another unit; None of others."""
    if names_in(row.figure) != set(figures) or len(figures) != 1:
        return None
    ((name, own),) = figures.items()
    if not own.is_measured:
        return None
    ends = [evaluated(row.figure, {name: each}) for each in (own.least, own.most)]
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
    """The feeds and given figures that an expression needs."""
    if not expression:
        return set()
    names = {each.id for each in ast.walk(ast.parse(expression, mode="eval")) if isinstance(each, ast.Name)}
    return names - set(_CALLS)


def evaluated(expression: str, known: Mapping[str, float]) -> float:
    """The value of an expression; raise TableError on what is none of these."""

    def value(node: ast.expr) -> float:
        match node:
            case ast.Constant(value=int() | float() as number):
                return float(number)
            case ast.Name(id=name) if name in known:
                return known[name]
            case ast.BinOp(left=left, op=op, right=right) if type(op) in _BINARY:
                return _BINARY[type(op)](value(left), value(right))
            case ast.Call(func=ast.Name(id=name), args=[_, _, *_] as given) if name in _CALLS:
                return _CALLS[name](*map(value, given))
        raise TableError(f"{expression}: {ast.unparse(node)} is not understood")

    return value(ast.parse(expression, mode="eval").body)
