"""Renders results of an experiment as one self-contained HTML page; nothing is run again for it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from jinja2 import Environment, PackageLoader, select_autoescape
from msgspec import to_builtins

from testbed.checker import Account, Verdict, compute_time_series
from testbed.checker.history import History
from testbed.experiment.compare import Row, compare_variants
from testbed.experiment.store import Key
from testbed.report import plots
from testbed.report.tables import plain

_MAX_VIOLATIONS = 3  # shown for a run
_SINGLE_RUN = "one day"  # stands for the digest of a run that belongs to no experiment

Results = list[tuple[Key, dict[str, Any]]]


@dataclass(frozen=True, slots=True)
class _ScenarioSection:
    """One section of the page.  page.html reads these names."""

    name: str
    rows: list[Row]
    notes: list[str]
    plots: list[str]


def result_of_run(history: History, verdict: Verdict, account: Account) -> tuple[Key, dict[str, Any]]:
    """Return a single scenario run as a result, for a page of its own."""
    result = plain(history, verdict, account)
    key = Key(history.run.scenario, history.run.seed, history.variant, history.engine, 1.0, _SINGLE_RUN)
    return key, {**result, "series": to_builtins(compute_time_series(history))}


def render_page(results: Results, title: str) -> str:
    """Return the page as HTML text."""
    loader = PackageLoader("testbed.report", ".")
    template = Environment(loader=loader, autoescape=select_autoescape()).get_template("page.html")
    sections = [
        _build_section(
            name,
            engine,
            [(key, result) for key, result in results if (key.world, key.engine) == (name, engine)],
        )
        for name, engine in dict.fromkeys((key.world, key.engine) for key, _ in results)
    ]
    digests = sorted({key.digest for key, _ in results} - {_SINGLE_RUN})
    about = f"{len(results)} days; sources and worlds {', '.join(digests[:4])}" if digests else "One day."
    return template.render(title=title, about=about, worlds=sections)


def _build_section(name: str, engine: str, results: Results) -> _ScenarioSection:
    rates = sorted({key.rate for key, _ in results})
    rate = 1.0 if 1.0 in rates else rates[0]
    results_at_rate = [(key, result) for key, result in results if key.rate == rate]
    seed = min(key.seed for key, _ in results_at_rate)
    series_by_variant = [
        (key.variant, result["series"]) for key, result in results_at_rate if key.seed == seed
    ]
    svg_plots = [plots.over_time(series_by_variant)]
    if len(rates) > 1:
        svg_plots.append(_plot_by_rate(results))
    views = series_by_variant[0][1].get("tier", {})
    if views:
        svg_plots.append(
            plots.membership_views(
                views, len(series_by_variant[0][1]["served"]) * series_by_variant[0][1]["bin_us"] / 1e6
            )
        )
    notes = [
        f"The plots are of seed {seed}, at {rate:g} times the world's rate.",
        *_describe_violations(results_at_rate),
    ]
    return _ScenarioSection(f"{name} ({engine})", compare_variants(results_at_rate), notes, svg_plots)


def _plot_by_rate(results: Results) -> str:
    served_by_variant: dict[str, dict[float, list[float]]] = {}
    for key, result in results:
        served_by_variant.setdefault(key.variant, {}).setdefault(key.rate, []).append(float(result["served"]))
    points = {
        variant: [(rate, sum(values) / len(values)) for rate, values in rates.items()]
        for variant, rates in served_by_variant.items()
    }
    return plots.lines(points, "times the world's rate", "served")


def _describe_violations(results: Results) -> list[str]:
    notes = []
    for key, result in results:
        for violation in result["breaches"][:_MAX_VIOLATIONS]:
            where = f"{key.variant}, seed {key.seed}, {violation['at_us'] / 1e6:.2f} s"
            notes.append(f"Broken: {where}: {violation['rule']}: {violation['text']}")
    return notes
