"""The page of costs: known slopes are found, rows stand on valid runs alone, the page is as committed."""

from __future__ import annotations

import random
import re
from pathlib import Path

import msgspec
import pytest

from testbed.capacity.__main__ import PAGE
from testbed.capacity.feeds import Feed, NotMeasuredError, figure
from testbed.capacity.fit import LAWS, FitError, fit
from testbed.capacity.page import number, pictures, render
from testbed.capacity.rows import (
    TABLE,
    Budget,
    Row,
    Table,
    TableError,
    evaluated,
    fill,
    names_in,
    read_table,
)
from testbed.capacity.samples import FOLDER, ROOT, Run, Sample, load_all

SIZES = (50, 100, 200, 400, 750)
COST = "member.cost | rest | mean | virtual"


def run(values: dict[float, float], *, valid: bool = True, name: str = "r", engine: str = "virtual") -> Run:
    """One run of one measure; a value at each size."""
    samples = [Sample("member.cost", size, value, "B/s", engine=engine) for size, value in values.items()]
    return Run(name, f"make {name}", "0000000", "2026-01-01T00:00Z", "1 cores", samples, valid)


def table(figure: str = "cost", missing: str = "", before: str = "") -> Table:
    own = {"figure": figure, "budget": "cost", "missing": missing, "before": before}
    row = Row("member", "peace", "its cost", "time", "sidecar/cluster_membership.py", **own)
    budget = {"cost": Budget(100.0, "B/s", "somebody")}
    return Table({"sidecars": 750.0, "calls_per_s": 7_500.0}, budget, {"cost": COST}, [row], [])


def whole(given: Table) -> Table:
    """With all that the page's opening names."""
    return Table(read_table().given | given.given, given.budget, given.feed, given.row, given.absent)


def grown(law: str, base: float, slope: float) -> dict[float, float]:
    return {size: base + slope * LAWS[law](size) for size in SIZES}


# Slopes


@pytest.mark.parametrize("law", [each for each in LAWS if each != "flat"])
@pytest.mark.parametrize("seed", range(5))
def test_a_known_slope_is_found_under_noise(law: str, seed: int) -> None:
    rng = random.Random(seed)
    slope = 60.0 / LAWS[law](SIZES[-1])
    points = [(size, 20.0 + slope * LAWS[law](size) + rng.gauss(0, 0.2)) for size in SIZES for _ in range(3)]
    found = fit(points)
    assert found.law == law
    assert found.base == pytest.approx(20.0, abs=1.0)
    assert found.slope == pytest.approx(slope, rel=0.05)
    assert found.at(1_500) == pytest.approx(20.0 + slope * LAWS[law](1_500), rel=0.05)
    assert found.residual < 0.5
    assert found.stretch(1_500) == 2.0
    assert found.stretch(100) == 1.0


def test_a_residual_of_rounding_errors_is_zero() -> None:
    assert fit([(size, 41.0 + 146.0 * size) for size in SIZES]).residual == 0.0


def test_what_does_not_grow_is_flat() -> None:
    found = fit([(size, 25.0) for size in SIZES])
    assert (found.law, found.slope, found.widest) == ("flat", 0.0, 0.0)
    assert found.at(10_000) == pytest.approx(25.0)


def test_the_spread_is_told() -> None:
    found = fit([(size, value) for size in SIZES for value in (10.0, 14.0)])
    assert found.widest == 4.0
    assert found.residual == pytest.approx(2.0, rel=0.1)


def test_three_sizes_make_no_slope() -> None:
    with pytest.raises(FitError, match="3 of 4 sizes"):
        fit([(size, 1.0) for size in SIZES[:3] for _ in range(5)])


# Feeds


def test_a_figure_at_the_size_itself_is_the_mean_over_seeds() -> None:
    feed = Feed.read(COST, 750)
    found = figure(feed, [run(grown("flat", 10.0, 0.0)), run(grown("flat", 20.0, 0.0))])
    assert (found.value, found.least, found.most, found.seeds, found.is_measured) == (
        15.0,
        10.0,
        20.0,
        2,
        True,
    )


def test_beyond_the_largest_size_the_slope_is_used() -> None:
    values = grown("linear", 5.0, 0.1)
    del values[750]
    found = figure(Feed.read(COST, 750), [run(values)])
    assert found.value == pytest.approx(80.0)
    assert not found.is_measured
    assert found.slope is not None and found.slope.stretch(750) == 1.875


def test_an_invalid_run_is_not_used() -> None:
    feed = Feed.read(COST, 750)
    good, bad = run(grown("flat", 10.0, 0.0)), run(grown("flat", 99.0, 0.0), valid=False)
    assert figure(feed, [good, bad]).value == 10.0
    with pytest.raises(NotMeasuredError, match="no valid run"):
        figure(feed, [bad])


def test_of_several_engines_the_first_that_was_run_is_taken() -> None:
    feed = Feed.read("member.cost | rest | mean | real/hollow", 750)
    real = run(grown("flat", 1.0, 0.0), engine="real")
    hollow = run(grown("flat", 2.0, 0.0), engine="hollow")
    assert figure(feed, [hollow, real]).value == 1.0
    assert figure(feed, [hollow]).value == 2.0


def test_what_stands_alone_needs_its_very_size() -> None:
    feed = Feed.read("member.cost | rest | mean | virtual | alone at 30", 750)
    assert figure(feed, [run({30: 7.0})]).value == 7.0
    with pytest.raises(NotMeasuredError, match="not at 30"):
        figure(feed, [run({50: 7.0})])


# Rows


def test_a_row_without_its_run_is_left_out_and_named() -> None:
    given = whole(table())
    filled, unfilled = fill(given, [])
    assert (filled, [each.row.what for each in unfilled]) == ([], ["its cost"])
    page = render(given, [])
    assert "- member, peace: its cost (member.cost, rest, mean, virtual: no sample of it)" in page
    assert "## Member" not in page


@pytest.mark.parametrize(
    ("runs", "why"),
    [
        ([run(grown("flat", 1.0, 0.0), valid=False)], "no valid run"),
        ([run({50: 1.0, 100: 1.0, 750: 1.0})], "3 of 4 sizes"),
    ],
)
def test_a_row_whose_run_does_not_do_is_left_out_with_the_reason(runs: list[Run], why: str) -> None:
    filled, unfilled = fill(table(), runs)
    assert not filled
    assert why in unfilled[0].why


def test_over_its_budget_a_row_stands_at_the_end() -> None:
    page = render(whole(table()), [run(grown("linear", 0.0, 0.2))])
    assert page.rstrip().endswith("| 1.5 | member | peace | its cost | 100 B/s | 150 B/s | somebody |")
    assert "Nothing is left out." in page


def test_a_formula_is_worked_out_and_shown() -> None:
    (filled,), _ = fill(table("cost * calls_per_s / sidecars / 2"), [run(grown("flat", 10.0, 0.0))])
    assert (filled.value, filled.how, filled.ratio) == (50.0, "worked out", 0.5)
    page = render(whole(table("cost + sidecars")), [run(grown("flat", 10.0, 0.0))])
    assert "= `cost + sidecars`" in page


def test_one_measured_figure_in_another_unit_stays_measured() -> None:
    runs = [run(grown("flat", 10.0, 0.0)), run(grown("flat", 20.0, 0.0))]
    (filled,), _ = fill(table("cost / 10"), runs)
    assert (filled.value, filled.how, filled.ends) == (1.5, "measured", (1.0, 2.0))
    assert "| 1.5 B/s (1 to 2 in 2 runs) |" in render(whole(table("cost / 10")), runs)
    assert "| 1 B/s (one run) |" in render(whole(table("cost / 10")), runs[:1])
    (filled,), _ = fill(table("cost / 10"), [run({50: 1.0, 100: 1.0, 200: 1.0, 400: 1.0})])
    assert filled.value == pytest.approx(0.1)
    assert (filled.how, filled.ends) == ("worked out", None)


def test_without_a_mechanism_a_row_is_missing_and_stands_first_at_the_end() -> None:
    given = whole(table("", missing="nobody does it"))
    runs = [run(grown("flat", 500.0, 0.0))]
    (filled,), _ = fill(given, runs)
    assert (filled.how, filled.value, filled.ratio) == ("missing", None, None)
    over = render(msgspec.structs.replace(given, row=[*table().row, *given.row]), runs)
    first, second = over.rstrip().splitlines()[-2:]
    assert first == "| missing | member | peace | its cost | 100 B/s |  | somebody |"
    assert second == "| 5 | member | peace | its cost | 100 B/s | 500 B/s | somebody |"
    assert "nobody does it" in over


def test_what_there_was_before_stands_with_the_row() -> None:
    given = whole(table(before="nobody did it"))
    assert "before: nobody did it" in render(given, [run(grown("flat", 10.0, 0.0))])
    assert "(member.cost, rest, mean, virtual: no sample of it)" in render(given, [])


def test_a_budget_may_be_a_least() -> None:
    given = table()
    given.budget["cost"] = Budget(100.0, "B/s", "somebody", is_least=True)
    (filled,), _ = fill(given, [run(grown("flat", 50.0, 0.0))])
    assert filled.ratio == 2.0
    (filled,), _ = fill(given, [run(grown("flat", 0.0, 0.0))])
    assert filled.ratio == float("inf")


@pytest.mark.parametrize("text", ["__import__('os')", "cost ** 2", "cost.real", "max(cost)", "other + 1"])
def test_an_expression_is_arithmetic_alone(text: str) -> None:
    with pytest.raises(TableError):
        evaluated(text, {"cost": 1.0})


def test_an_expression_of_what_is_not_declared_is_refused(tmp_path: Path) -> None:
    text = TABLE.read_text().replace('figure = "added_median"', 'figure = "added_nothing"')
    path = tmp_path / "rows.toml"
    path.write_text(text)
    with pytest.raises(TableError, match="added_nothing"):
        read_table(path)
    path.write_text(TABLE.read_text().replace('figure = "added_median"', ""))
    with pytest.raises(TableError, match="either a figure or why"):
        read_table(path)


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (0.0, "0"),
        (0.012345, "0.0123"),
        (7.716, "7.72"),
        (12.0, "12"),
        (15.96, "16"),
        (123.4, "123"),
        (220_000, "220,000"),
        (999.9, "1,000"),
    ],
)
def test_figures_have_three_digits(value: float, text: str) -> None:
    assert number(value) == text


# What is committed


def test_the_committed_table_names_files_that_are_there_and_every_role() -> None:
    given = read_table()
    assert not [each.file for each in given.row if not (ROOT / each.file).is_file()]
    assert {each.role for each in given.row} == {
        "sidecar: data path",
        "sidecar: member",
        "sidecar: list and configuration",
        "discovery",
        "whatever spreads configuration",
        "admin interface and metrics",
        "the 7 machines",
    }
    needed = {name for each in given.row for name in names_in(each.figure) | _placed(each.note)}
    assert set(given.feed) - needed == set()
    assert needed <= set(given.feed) | set(given.given)


def _placed(note: str) -> set[str]:
    return set(re.findall(r"\{(\w+)\}", note))


def test_the_committed_page_is_what_the_committed_runs_give() -> None:
    given, runs = read_table(), load_all()
    assert render(given, runs) == PAGE.read_text(), "make capacity"
    drawn = pictures(fill(given, runs)[0])
    assert set(drawn) == {each.name for each in FOLDER.glob("*.svg")}, "make capacity"
