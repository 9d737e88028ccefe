"""Verdict and account of a scenario run as plain values for JSON, and as tables for a terminal."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from msgspec.structs import asdict
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from testbed.capacity.samples import Sample
from testbed.checker import Account, Verdict
from testbed.checker.history import History
from testbed.experiment.compare import Row
from testbed.scenario.scenario_run import US_PER_S

_MAX_VIOLATIONS = 10  # shown for a run
_VERDICT_COLOURS = {"kept": "green", "broken": "red"}
_PARTS = ("mean", "median", "p99", "max")
_BAR_CHARACTERS = " ▁▂▃▄▅▆▇█"


def plain(history: History, verdict: Verdict, account: Account) -> dict[str, Any]:
    """Return verdict and account of a run, for `--json`; the keys are read by other programs."""
    return {
        "world": history.run.scenario,
        "seed": history.run.seed,
        "engine": history.engine,
        "variant": history.variant,
        "verdict": verdict.label,
        "unfair": list(verdict.unscored_reasons),
        "breaches": [
            {"rule": violation.invariant, "at_us": violation.at_us, "text": violation.text}
            for violation in verdict.violations
        ],
        "asked": account.client_requests,
        "served": account.served_fraction,
        "worth": account.net_value_served,
        "refused": account.rejected_fraction,
        "failed": account.failed_fraction,
        "attempts": account.attempts_per_request,
        "by_class": account.by_class,
        "by_zone": account.by_zone,
        "by_second": account.by_second,
        "prices": account.prices,
        "latency_ms": account.latency_ms,
        "recovery_s": [
            {"trouble": number, "kind": kind, "seconds": seconds}
            for number, kind, seconds in account.recovery_s
        ],
    }


def plain_samples(measured: Iterable[Sample]) -> list[dict[str, Any]]:
    """Return samples as plain values, for `--json`."""
    return [asdict(sample) for sample in measured]


def print_samples(console: Console, measured: Iterable[Sample]) -> None:
    """Print samples: a row for each case, measure, engine and unit, a column for each part."""
    rows: dict[tuple[str, str, str, str], dict[str, float]] = {}
    for sample in measured:
        key = (sample.case, sample.measure, sample.engine, sample.unit)
        rows.setdefault(key, {})[sample.part] = sample.value
    table = Table(box=None)
    for name in ("case", "measure", "engine", "unit", *_PARTS):
        table.add_column(name, justify="right" if name in _PARTS else "left")
    for key, parts in rows.items():
        table.add_row(*key, *(f"{parts[name]:g}" if name in parts else "" for name in _PARTS))
    console.print(table)


def print_run(console: Console, history: History, verdict: Verdict, account: Account) -> None:
    """Print account and verdict of a scenario run."""
    run = history.run
    console.print(
        f"[bold]{escape(run.scenario)}[/] seed {run.seed}, {history.engine}, {escape(history.variant)}:"
        f" {len(run.replicas)} copies, {len(run.servers)} servers, {account.client_requests} requests"
    )
    console.print(_account_table(account))
    console.print(f"served by second  [cyan]{sparkline(account.by_second)}[/]")
    if run.faults:
        console.print(_faults_table(history, account))
    _print_verdict(console, verdict)


def sparkline(fractions: list[float]) -> str:
    """Return a bar character for each fraction, from 0 to 1."""
    return "".join(_BAR_CHARACTERS[min(max(round(fraction * 8), 0), 8)] for fraction in fractions)


def _account_table(account: Account) -> Table:
    table = Table(show_header=False, box=None, pad_edge=False)
    table.add_column(style="dim")
    table.add_column()
    rows = {
        "served": f"{account.served_fraction:.4f}, {account.net_value_served:.4f} after prices",
        "by class": _format_values(account.by_class),
        "by zone": _format_values(account.by_zone),
        "refused, failed": f"{account.rejected_fraction:.4f}, {account.failed_fraction:.4f} of first tries",
        "attempts": f"{account.attempts_per_request:.3f} a first try",
        "latency, ms": ", ".join(f"{name} {value:.1f}" for name, value in account.latency_ms.items()),
        "prices": _format_values(account.prices),
    }
    for name, value in rows.items():
        table.add_row(name, value)
    return table


def _format_values(values: dict[str, float]) -> str:
    return ", ".join(f"{escape(name)} {value:.4f}" for name, value in values.items())


def _faults_table(history: History, account: Account) -> Table:
    table = Table(
        "trouble", "kind", "from, s", "to, s", "who", "served again after, s", box=None, pad_edge=False
    )
    for fault, (_, _, seconds) in zip(history.run.faults, account.recovery_s, strict=True):
        parties = ", ".join(fault.parties[:4]) + (
            f" and {len(fault.parties) - 4} more" if len(fault.parties) > 4 else ""
        )
        recovery = "not by the end" if seconds is None else f"{seconds:.1f}"
        times = f"{fault.start_us / US_PER_S:.2f}", f"{fault.end_us / US_PER_S:.2f}"
        table.add_row(str(fault.number), fault.kind, *times, escape(parties), recovery)
    return table


def print_comparison(console: Console, rows: list[Row]) -> None:
    """Print a comparison: a table for each scenario, a row for each variant."""
    for scenario in dict.fromkeys(row.world for row in rows):
        scenario_rows = [row for row in rows if row.world == scenario]
        headings = "days", "broken", "served", "worth", "refused", "attempts", "p99, ms"
        table = Table(
            scenario, *headings, f"worth against {scenario_rows[0].variant}, 95%", box=None, pad_edge=False
        )
        for row in scenario_rows:
            ahead = ""
            if row.ahead is not None and row.low is not None and row.high is not None:
                colour = "green" if row.low > 0 else "red" if row.high < 0 else "default"
                ahead = f"[{colour}]{row.ahead:+.4f} ({row.low:+.4f} to {row.high:+.4f})[/]"
            figures = f"{row.served:.4f}", f"{row.worth:.4f}", f"{row.refused:.4f}", f"{row.attempts:.3f}"
            broken = f"[red]{row.broken}[/]" if row.broken else "0"
            name = escape(row.variant)
            table.add_row(name, str(row.days), broken, *figures, f"{row.p99_ms:.1f}", ahead)
        console.print(table)


def _print_verdict(console: Console, verdict: Verdict) -> None:
    console.print(f"rules: [bold {_VERDICT_COLOURS.get(verdict.label, 'yellow')}]{verdict.label}[/]")
    for violation in verdict.violations[:_MAX_VIOLATIONS]:
        console.print(
            f"  {violation.at_us / US_PER_S:9.3f} s  {violation.invariant}: {escape(violation.text)}"
        )
    if len(verdict.violations) > _MAX_VIOLATIONS:
        console.print(f"  and {len(verdict.violations) - _MAX_VIOLATIONS} more")
    for reason in verdict.unscored_reasons:
        console.print(f"  not scored: {escape(reason)}")
