"""Capacity page: fitted curves, figures of feeds from valid runs, rows, and the committed page."""

from __future__ import annotations

import random
import re
from pathlib import Path

import msgspec
import pytest

from testbed.capacity.__main__ import PAGE
from testbed.capacity.feeds import Feed, NotMeasuredError, compute_figure
from testbed.capacity.fit import LAWS, FitError, fit
from testbed.capacity.page import format_number, render, render_plots
from testbed.capacity.rows import (
    TABLE,
    Budget,
    Row,
    Table,
    TableError,
    compute_rows,
    evaluate,
    names_in,
    read_table,
)
from testbed.capacity.samples import FOLDER, ROOT, Run, Sample, load_all

SIZES = (50, 100, 200, 400, 750)
COST = "member.cost | rest | mean | virtual"


def run(values: dict[float, float], *, valid: bool = True, name: str = "r", engine: str = "virtual") -> Run:
    """Return a run of one measure with a value at each size."""
    samples = [Sample("member.cost", size, value, "B/s", engine=engine) for size, value in values.items()]
    return Run(name, f"make {name}", "0000000", "2026-01-01T00:00Z", "1 cores", samples, valid)


def table(figure: str = "cost", missing: str = "", before: str = "") -> Table:
    fields = {"figure": figure, "budget": "cost", "missing": missing, "before": before}
    row = Row("member", "peace", "its cost", "time", "sidecar/cluster_membership.py", **fields)
    budget = {"cost": Budget(100.0, "B/s", "somebody")}
    return Table({"sidecars": 750.0, "calls_per_s": 7_500.0}, budget, {"cost": COST}, [row], [])


def with_page_values(given: Table) -> Table:
    """Add the given values that the opening of the page needs."""
    return Table(read_table().given | given.given, given.budget, given.feed, given.row, given.absent)


def values_by_law(law: str, base: float, slope: float) -> dict[float, float]:
    return {size: base + slope * LAWS[law](size) for size in SIZES}


# Fitted curves


@pytest.mark.parametrize("law", [law for law in LAWS if law != "flat"])
@pytest.mark.parametrize("seed", range(5))
def test_fit_finds_a_known_law_under_noise(law: str, seed: int) -> None:
    rng = random.Random(seed)
    slope = 60.0 / LAWS[law](SIZES[-1])
    points = [(size, 20.0 + slope * LAWS[law](size) + rng.gauss(0, 0.2)) for size in SIZES for _ in range(3)]
    fitted = fit(points)
    assert fitted.law == law
    assert fitted.base == pytest.approx(20.0, abs=1.0)
    assert fitted.slope == pytest.approx(slope, rel=0.05)
    assert fitted.at(1_500) == pytest.approx(20.0 + slope * LAWS[law](1_500), rel=0.05)
    assert fitted.residual < 0.5
    assert fitted.extrapolation(1_500) == 2.0
    assert fitted.extrapolation(100) == 1.0


def test_fit_residual_of_rounding_errors_is_zero() -> None:
    assert fit([(size, 41.0 + 146.0 * size) for size in SIZES]).residual == 0.0


def test_fit_of_constant_values_is_flat() -> None:
    fitted = fit([(size, 25.0) for size in SIZES])
    assert (fitted.law, fitted.slope, fitted.max_range) == ("flat", 0.0, 0.0)
    assert fitted.at(10_000) == pytest.approx(25.0)


def test_fit_reports_range_and_residual() -> None:
    fitted = fit([(size, value) for size in SIZES for value in (10.0, 14.0)])
    assert fitted.max_range == 4.0
    assert fitted.residual == pytest.approx(2.0, rel=0.1)


def test_fit_rejects_three_sizes() -> None:
    with pytest.raises(FitError, match="3 of 4 sizes"):
        fit([(size, 1.0) for size in SIZES[:3] for _ in range(5)])


# Feeds


def test_figure_at_a_measured_size_is_the_mean_over_seeds() -> None:
    feed = Feed.read(COST, 750)
    result = compute_figure(
        feed, [run(values_by_law("flat", 10.0, 0.0)), run(values_by_law("flat", 20.0, 0.0))]
    )
    assert (result.value, result.least, result.most, result.seeds, result.is_measured) == (
        15.0,
        10.0,
        20.0,
        2,
        True,
    )


def test_beyond_the_largest_size_the_slope_is_used() -> None:
    values = values_by_law("linear", 5.0, 0.1)
    del values[750]
    result = compute_figure(Feed.read(COST, 750), [run(values)])
    assert result.value == pytest.approx(80.0)
    assert not result.is_measured
    assert result.curve is not None and result.curve.extrapolation(750) == 1.875


def test_figure_ignores_invalid_runs() -> None:
    feed = Feed.read(COST, 750)
    good, bad = run(values_by_law("flat", 10.0, 0.0)), run(values_by_law("flat", 99.0, 0.0), valid=False)
    assert compute_figure(feed, [good, bad]).value == 10.0
    with pytest.raises(NotMeasuredError, match="no valid run"):
        compute_figure(feed, [bad])


def test_figure_uses_the_first_engine_that_has_samples() -> None:
    feed = Feed.read("member.cost | rest | mean | real/hollow", 750)
    real = run(values_by_law("flat", 1.0, 0.0), engine="real")
    hollow = run(values_by_law("flat", 2.0, 0.0), engine="hollow")
    assert compute_figure(feed, [hollow, real]).value == 1.0
    assert compute_figure(feed, [hollow]).value == 2.0


def test_feed_of_a_single_size_needs_a_sample_at_that_size() -> None:
    feed = Feed.read("member.cost | rest | mean | virtual | alone at 30", 750)
    assert compute_figure(feed, [run({30: 7.0})]).value == 7.0
    with pytest.raises(NotMeasuredError, match="not at 30"):
        compute_figure(feed, [run({50: 7.0})])


# Rows


def test_row_without_samples_is_listed_as_not_measured() -> None:
    given = with_page_values(table())
    computed, unmeasured = compute_rows(given, [])
    assert (computed, [row.row.what for row in unmeasured]) == ([], ["its cost"])
    page = render(given, [])
    assert "- member, peace: its cost (member.cost, rest, mean, virtual: no sample of it)" in page
    assert "## Member" not in page


@pytest.mark.parametrize(
    ("runs", "reason"),
    [
        ([run(values_by_law("flat", 1.0, 0.0), valid=False)], "no valid run"),
        ([run({50: 1.0, 100: 1.0, 750: 1.0})], "3 of 4 sizes"),
    ],
)
def test_row_without_usable_samples_is_left_out_with_the_reason(runs: list[Run], reason: str) -> None:
    computed, unmeasured = compute_rows(table(), runs)
    assert not computed
    assert reason in unmeasured[0].reason


def test_row_over_its_budget_is_listed_at_the_end() -> None:
    page = render(with_page_values(table()), [run(values_by_law("linear", 0.0, 0.2))])
    assert page.rstrip().endswith("| 1.5 | member | peace | its cost | 100 B/s | 150 B/s | somebody |")
    assert "Nothing is left out." in page


def test_formula_is_computed_and_shown() -> None:
    (computed,), _ = compute_rows(
        table("cost * calls_per_s / sidecars / 2"), [run(values_by_law("flat", 10.0, 0.0))]
    )
    assert (computed.value, computed.how, computed.ratio) == (50.0, "worked out", 0.5)
    page = render(with_page_values(table("cost + sidecars")), [run(values_by_law("flat", 10.0, 0.0))])
    assert "= `cost + sidecars`" in page


def test_one_measured_figure_in_another_unit_stays_measured() -> None:
    runs = [run(values_by_law("flat", 10.0, 0.0)), run(values_by_law("flat", 20.0, 0.0))]
    (computed,), _ = compute_rows(table("cost / 10"), runs)
    assert (computed.value, computed.how, computed.value_range) == (1.5, "measured", (1.0, 2.0))
    assert "| 1.5 B/s (1 to 2 in 2 runs) |" in render(with_page_values(table("cost / 10")), runs)
    assert "| 1 B/s (one run) |" in render(with_page_values(table("cost / 10")), runs[:1])
    (computed,), _ = compute_rows(table("cost / 10"), [run({50: 1.0, 100: 1.0, 200: 1.0, 400: 1.0})])
    assert computed.value == pytest.approx(0.1)
    assert (computed.how, computed.value_range) == ("worked out", None)


def test_row_without_a_mechanism_is_listed_before_rows_over_budget() -> None:
    given = with_page_values(table("", missing="nobody does it"))
    runs = [run(values_by_law("flat", 500.0, 0.0))]
    (computed,), _ = compute_rows(given, runs)
    assert (computed.how, computed.value, computed.ratio) == ("missing", None, None)
    over = render(msgspec.structs.replace(given, row=[*table().row, *given.row]), runs)
    first, second = over.rstrip().splitlines()[-2:]
    assert first == "| missing | member | peace | its cost | 100 B/s |  | somebody |"
    assert second == "| 5 | member | peace | its cost | 100 B/s | 500 B/s | somebody |"
    assert "nobody does it" in over


def test_row_shows_the_state_before_its_mechanism() -> None:
    given = with_page_values(table(before="nobody did it"))
    assert "before: nobody did it" in render(given, [run(values_by_law("flat", 10.0, 0.0))])
    assert "(member.cost, rest, mean, virtual: no sample of it)" in render(given, [])


def test_budget_may_be_a_minimum() -> None:
    given = table()
    given.budget["cost"] = Budget(100.0, "B/s", "somebody", is_least=True)
    (computed,), _ = compute_rows(given, [run(values_by_law("flat", 50.0, 0.0))])
    assert computed.ratio == 2.0
    (computed,), _ = compute_rows(given, [run(values_by_law("flat", 0.0, 0.0))])
    assert computed.ratio == float("inf")


@pytest.mark.parametrize("text", ["__import__('os')", "cost ** 2", "cost.real", "max(cost)", "other + 1"])
def test_expression_allows_arithmetic_only(text: str) -> None:
    with pytest.raises(TableError):
        evaluate(text, {"cost": 1.0})


def test_row_with_an_undeclared_name_or_without_a_figure_is_rejected(tmp_path: Path) -> None:
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
def test_numbers_have_three_significant_digits(value: float, text: str) -> None:
    assert format_number(value) == text


# Committed table and page


def test_committed_table_names_existing_files_and_all_roles() -> None:
    given = read_table()
    assert not [row.file for row in given.row if not (ROOT / row.file).is_file()]
    assert {row.role for row in given.row} == {
        "sidecar: data path",
        "sidecar: member",
        "sidecar: list and configuration",
        "discovery",
        "whatever spreads configuration",
        "admin interface and metrics",
        "the 7 machines",
    }
    needed = {name for row in given.row for name in names_in(row.figure) | _placeholders(row.note)}
    assert set(given.feed) - needed == set()
    assert needed <= set(given.feed) | set(given.given)


def _placeholders(note: str) -> set[str]:
    return set(re.findall(r"\{(\w+)\}", note))


def test_committed_page_matches_the_committed_runs() -> None:
    given, runs = read_table(), load_all()
    assert render(given, runs) == PAGE.read_text(), "make capacity"
    svg_by_name = render_plots(compute_rows(given, runs)[0])
    assert set(svg_by_name) == {path.name for path in FOLDER.glob("*.svg")}, "make capacity"
