"""Plots as SVG text: days over time, and rates upward."""

from __future__ import annotations

import io
from collections.abc import Sequence
from typing import Any

import matplotlib
from matplotlib.axes import Axes
from matplotlib.colors import ListedColormap
from matplotlib.figure import Figure
from matplotlib.patches import Patch

from testbed.checker.membership import MEMBER_STATES

matplotlib.rcParams.update(
    {
        "svg.hashsalt": "plumtrestle",  # the same plot for the same results
        "svg.fonttype": "none",
        "font.family": "sans-serif",
        "font.size": 9,
        "axes.spines.top": False,
        "axes.spines.right": False,
        "axes.grid": True,
        "grid.alpha": 0.25,
    }
)
COLOURS = ("#0b6e99", "#d9730d", "#4f7a28", "#8b3fa8", "#b3261e", "#6b6b6b", "#c2a000", "#1f8a8a")
_PANELS = (
    ("served", "served a second"),
    ("refused", "refused a second"),
    ("failed", "failed a second"),
    ("warm", "in flight, warm servers"),
    ("cold", "in flight, cold servers"),
    ("unavailable", "ejected or avoided, a copy"),
)


def over_time(days: Sequence[tuple[str, dict[str, Any]]]) -> str:
    """One day by several variants: a panel for each value, a line for each variant."""
    panels = [each for each in _PANELS if any(any(series[each[0]]) for _, series in days)]
    seen = [(name, series) for name, series in days if series["members"]]
    rows = len(panels) + bool(seen)
    figure = Figure(figsize=(9.0, 1.5 * rows + 0.6), layout="constrained")
    axes: list[Axes] = list(figure.subplots(rows, 1, sharex=True, squeeze=False)[:, 0])
    for own, (key, label) in zip(axes, panels, strict=False):
        for place, (name, series) in enumerate(days):
            own.plot(_seconds(series), series[key], color=COLOURS[place % len(COLOURS)], lw=1.2, label=name)
        own.set_ylabel(label, rotation=0, ha="right", va="center")
        own.set_ylim(bottom=0)
        _shade(own, days[0][1])
    if seen:
        _members(axes[-1], seen[0])
        _shade(axes[-1], seen[0][1])
    axes[0].legend(loc="lower left", ncols=4, frameon=False, bbox_to_anchor=(0, 1.0))
    axes[-1].set_xlabel("seconds of the day; shaded: troubles")
    return _svg(figure)


def _members(own: Axes, day: tuple[str, dict[str, Any]]) -> None:
    """Servers listed as each copy has it."""
    name, series = day
    for values in series["members"].values():
        own.plot(_seconds(series), values, color=COLOURS[0], lw=0.8, alpha=0.5)
    own.set_ylabel(f"servers listed,\neach copy ({name})", rotation=0, ha="right", va="center")


_SNAPSHOTS = 8
_MOST_INSIDE = 5  # lines named within the axes; the names of more stand beside them
_BELIEF_COLOURS = {"p": "#2f7d4f", "s": "#e0a030", "?": "#d9d9d9", "l": "#7a8ca8", "d": "#a5251c"}


def who_sees_whom(seen: dict[str, list[tuple[float, str]]], length_s: float) -> str:
    """A map at each of eight times: a row for each copy that looks, a column for each that is seen."""
    copies = sorted(seen, key=int)
    times = [length_s * (place + 1) / _SNAPSHOTS for place in range(_SNAPSHOTS)]
    figure = Figure(figsize=(9.0, 5.2), layout="constrained")
    letters = list(_BELIEF_COLOURS)
    colours = ListedColormap(list(_BELIEF_COLOURS.values()))
    for own, at in zip(figure.subplots(2, _SNAPSHOTS // 2).flat, times, strict=True):
        views = [_view_at(seen[copy], at) for copy in copies]
        width = max(map(len, views))
        cells = [[letters.index(letter) for letter in view.ljust(width, "?")] for view in views]
        own.imshow(cells, cmap=colours, vmin=0, vmax=len(letters) - 1, interpolation="nearest")
        own.set_title(f"{at:.1f} s", fontsize=9)
        own.grid(visible=False)
        own.set_xticks([])
        own.set_yticks([])
    patches = [Patch(color=colour, label=MEMBER_STATES[letter]) for letter, colour in _BELIEF_COLOURS.items()]
    figure.legend(handles=patches, loc="outside lower center", ncols=len(patches), frameon=False)
    figure.suptitle("who sees whom: a row for each copy that looks, a column for each member", fontsize=9)
    return _svg(figure)


def _view_at(looks: list[tuple[float, str]], at: float) -> str:
    """The last look up to a time; before the first, nothing is known."""
    return next((view for when, view in reversed(looks) if when <= at), "?" * len(looks[0][1]))


def _seconds(series: dict[str, Any]) -> list[float]:
    return [place * series["bin_us"] / 1e6 for place in range(len(series["served"]))]


def _shade(own: Axes, series: dict[str, Any]) -> None:
    for _, begin, end in series["troubles"]:
        own.axvspan(begin, max(end, begin + series["bin_us"] / 1e6), color="#999999", alpha=0.18, lw=0)


def lines(
    named: dict[str, list[tuple[float, float]]], x_label: str, y_label: str, *, is_log: bool = False
) -> str:
    """Lines through points, one for each name."""
    width = 9.5 if len(named) > _MOST_INSIDE else 7.0
    figure = Figure(figsize=(width, 3.4), layout="constrained")
    own = figure.subplots()
    for place, (name, points) in enumerate(named.items()):
        colour = COLOURS[place % len(COLOURS)]
        style = "o-" if place < len(COLOURS) else "s--"  # a colour that stands twice
        own.plot(*zip(*sorted(points), strict=True), style, color=colour, lw=1.2, ms=3.5, label=name)
    if is_log:
        own.set_xscale("log")
    own.set_ylim(bottom=0)
    own.set_xlabel(x_label)
    own.set_ylabel(y_label)
    if len(named) > _MOST_INSIDE:
        figure.legend(loc="outside right upper", frameon=False)
    elif len(named) > 1:
        own.legend(frameon=False)
    return _svg(figure)


def _svg(figure: Figure) -> str:
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]
