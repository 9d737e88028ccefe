"""Draws plots as SVG text: values of a run over time, membership views, and lines through points."""

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
        "svg.hashsalt": "plumtrestle",  # equal results give equal SVG text
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


def over_time(runs: Sequence[tuple[str, dict[str, Any]]]) -> str:
    """Plot runs of several variants over time: a panel for each value, a line for each variant."""
    panels = [(key, label) for key, label in _PANELS if any(any(series[key]) for _, series in runs)]
    runs_with_members = [(name, series) for name, series in runs if series["members"]]
    rows = len(panels) + bool(runs_with_members)
    figure = Figure(figsize=(9.0, 1.5 * rows + 0.6), layout="constrained")
    axes: list[Axes] = list(figure.subplots(rows, 1, sharex=True, squeeze=False)[:, 0])
    for panel, (key, label) in zip(axes, panels, strict=False):
        for index, (name, series) in enumerate(runs):
            panel.plot(_seconds(series), series[key], color=COLOURS[index % len(COLOURS)], lw=1.2, label=name)
        panel.set_ylabel(label, rotation=0, ha="right", va="center")
        panel.set_ylim(bottom=0)
        _shade_faults(panel, runs[0][1])
    if runs_with_members:
        _plot_members(axes[-1], runs_with_members[0])
        _shade_faults(axes[-1], runs_with_members[0][1])
    axes[0].legend(loc="lower left", ncols=4, frameon=False, bbox_to_anchor=(0, 1.0))
    axes[-1].set_xlabel("seconds of the day; shaded: troubles")
    return _svg(figure)


def _plot_members(panel: Axes, run: tuple[str, dict[str, Any]]) -> None:
    """Plot the number of servers in the endpoint list of each replica."""
    name, series = run
    for values in series["members"].values():
        panel.plot(_seconds(series), values, color=COLOURS[0], lw=0.8, alpha=0.5)
    panel.set_ylabel(f"servers listed,\neach copy ({name})", rotation=0, ha="right", va="center")


_SNAPSHOTS = 8  # membership views at evenly spaced times
_MAX_LABELS_INSIDE = 5  # with more lines, the legend is beside the axes
# By letter of a member state, see MEMBER_STATES.
_STATE_COLOURS = {"p": "#2f7d4f", "s": "#e0a030", "?": "#d9d9d9", "l": "#7a8ca8", "d": "#a5251c"}


def membership_views(views_by_replica: dict[str, list[tuple[float, str]]], length_s: float) -> str:
    """Draw the membership views of all replicas at eight times.

    In each map a row is the view of one replica, and a column the state of one member in these views.
    """
    replicas = sorted(views_by_replica, key=int)
    times = [length_s * (index + 1) / _SNAPSHOTS for index in range(_SNAPSHOTS)]
    figure = Figure(figsize=(9.0, 5.2), layout="constrained")
    letters = list(_STATE_COLOURS)
    colours = ListedColormap(list(_STATE_COLOURS.values()))
    for panel, at_s in zip(figure.subplots(2, _SNAPSHOTS // 2).flat, times, strict=True):
        views = [_view_at(views_by_replica[replica], at_s) for replica in replicas]
        width = max(map(len, views))
        cells = [[letters.index(letter) for letter in view.ljust(width, "?")] for view in views]
        panel.imshow(cells, cmap=colours, vmin=0, vmax=len(letters) - 1, interpolation="nearest")
        panel.set_title(f"{at_s:.1f} s", fontsize=9)
        panel.grid(visible=False)
        panel.set_xticks([])
        panel.set_yticks([])
    patches = [Patch(color=colour, label=MEMBER_STATES[letter]) for letter, colour in _STATE_COLOURS.items()]
    figure.legend(handles=patches, loc="outside lower center", ncols=len(patches), frameon=False)
    figure.suptitle("who sees whom: a row for each copy that looks, a column for each member", fontsize=9)
    return _svg(figure)


def _view_at(timed_views: list[tuple[float, str]], at_s: float) -> str:
    """Return the last view up to a time; before the first one, all members are unknown."""
    return next(
        (view for time_s, view in reversed(timed_views) if time_s <= at_s), "?" * len(timed_views[0][1])
    )


def _seconds(series: dict[str, Any]) -> list[float]:
    return [index * series["bin_us"] / 1e6 for index in range(len(series["served"]))]


def _shade_faults(panel: Axes, series: dict[str, Any]) -> None:
    for _, begin_s, end_s in series["troubles"]:
        panel.axvspan(
            begin_s, max(end_s, begin_s + series["bin_us"] / 1e6), color="#999999", alpha=0.18, lw=0
        )


def lines(
    points_by_name: dict[str, list[tuple[float, float]]], x_label: str, y_label: str, *, is_log: bool = False
) -> str:
    """Plot a line through the points of each name."""
    width = 9.5 if len(points_by_name) > _MAX_LABELS_INSIDE else 7.0
    figure = Figure(figsize=(width, 3.4), layout="constrained")
    panel = figure.subplots()
    for index, (name, points) in enumerate(points_by_name.items()):
        colour = COLOURS[index % len(COLOURS)]
        style = "o-" if index < len(COLOURS) else "s--"  # other markers where colours repeat
        panel.plot(*zip(*sorted(points), strict=True), style, color=colour, lw=1.2, ms=3.5, label=name)
    if is_log:
        panel.set_xscale("log")
    panel.set_ylim(bottom=0)
    panel.set_xlabel(x_label)
    panel.set_ylabel(y_label)
    if len(points_by_name) > _MAX_LABELS_INSIDE:
        figure.legend(loc="outside right upper", frameon=False)
    elif len(points_by_name) > 1:
        panel.legend(frameon=False)
    return _svg(figure)


def _svg(figure: Figure) -> str:
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]
