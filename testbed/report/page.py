"""One self-contained HTML page of an experiment, made from its results without playing anything again."""

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

_MOST_BREACHES = 3
_ONE_DAY = "one day"  # in a digest's place, where nothing is compared

Results = list[tuple[Key, dict[str, Any]]]


@dataclass(frozen=True, slots=True)
class _World:
    name: str
    rows: list[Row]
    notes: list[str]
    plots: list[str]


def of_one_day(history: History, verdict: Verdict, counted: Account) -> tuple[Key, dict[str, Any]]:
    """A single day as a result, for a page of its own."""
    told = plain(history, verdict, counted)
    key = Key(history.run.scenario, history.run.seed, history.variant, history.engine, 1.0, _ONE_DAY)
    return key, {**told, "series": to_builtins(compute_time_series(history))}


def page(results: Results, title: str) -> str:
    """The page as text."""
    loader = PackageLoader("testbed.report", ".")
    template = Environment(loader=loader, autoescape=select_autoescape()).get_template("page.html")
    worlds = [
        _world(name, engine, [each for each in results if (each[0].world, each[0].engine) == (name, engine)])
        for name, engine in dict.fromkeys((key.world, key.engine) for key, _ in results)
    ]
    digests = sorted({key.digest for key, _ in results} - {_ONE_DAY})
    about = f"{len(results)} days; sources and worlds {', '.join(digests[:4])}" if digests else "One day."
    return template.render(title=title, about=about, worlds=worlds)


def _world(name: str, engine: str, results: Results) -> _World:
    rates = sorted({key.rate for key, _ in results})
    at = 1.0 if 1.0 in rates else rates[0]
    here = [each for each in results if each[0].rate == at]
    seed = min(key.seed for key, _ in here)
    days = [(key.variant, result["series"]) for key, result in here if key.seed == seed]
    drawn = [plots.over_time(days)]
    if len(rates) > 1:
        drawn.append(_by_rate(results))
    seen = days[0][1].get("tier", {})
    if seen:
        drawn.append(plots.who_sees_whom(seen, len(days[0][1]["served"]) * days[0][1]["bin_us"] / 1e6))
    notes = [f"The plots are of seed {seed}, at {at:g} times the world's rate.", *_breaches(here)]
    return _World(f"{name} ({engine})", compare_variants(here), notes, drawn)


def _by_rate(results: Results) -> str:
    named: dict[str, dict[float, list[float]]] = {}
    for key, result in results:
        named.setdefault(key.variant, {}).setdefault(key.rate, []).append(float(result["served"]))
    points = {
        variant: [(rate, sum(values) / len(values)) for rate, values in rates.items()]
        for variant, rates in named.items()
    }
    return plots.lines(points, "times the world's rate", "served")


def _breaches(results: Results) -> list[str]:
    out = []
    for key, result in results:
        for breach in result["breaches"][:_MOST_BREACHES]:
            where = f"{key.variant}, seed {key.seed}, {breach['at_us'] / 1e6:.2f} s"
            out.append(f"Broken: {where}: {breach['rule']}: {breach['text']}")
    return out
