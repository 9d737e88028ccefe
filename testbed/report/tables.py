"""A day's verdict and account as plain values, and as tables for a terminal."""

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

_MOST_BREACHES = 10
_COLOURS = {"kept": "green", "broken": "red"}
_PARTS = ("mean", "median", "p99", "max")
_BLOCKS = " ▁▂▃▄▅▆▇█"


def plain(history: History, verdict: Verdict, account: Account) -> dict[str, Any]:
    """Everything that a day came to, for `--json`."""
    return {
        "world": history.run.scenario,
        "seed": history.run.seed,
        "engine": history.engine,
        "variant": history.variant,
        "verdict": verdict.label,
        "unfair": list(verdict.unscored_reasons),
        "breaches": [
            {"rule": each.invariant, "at_us": each.at_us, "text": each.text} for each in verdict.violations
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


def plain_samples(given: Iterable[Sample]) -> list[dict[str, Any]]:
    """Measured figures, for `--json`."""
    return [asdict(each) for each in given]


def samples(console: Console, given: Iterable[Sample]) -> None:
    """Measured figures on a terminal: a row for each measure, case and engine."""
    rows: dict[tuple[str, str, str, str], dict[str, float]] = {}
    for each in given:
        key = (each.case, each.measure, each.engine, each.unit)
        rows.setdefault(key, {})[each.part] = each.value
    table = Table(box=None)
    for name in ("case", "measure", "engine", "unit", *_PARTS):
        table.add_column(name, justify="right" if name in _PARTS else "left")
    for key, parts in rows.items():
        table.add_row(*key, *(f"{parts[each]:g}" if each in parts else "" for each in _PARTS))
    console.print(table)


def show(console: Console, history: History, verdict: Verdict, account: Account) -> None:
    """A day on a terminal."""
    day = history.run
    console.print(
        f"[bold]{escape(day.scenario)}[/] seed {day.seed}, {history.engine}, {escape(history.variant)}:"
        f" {len(day.replicas)} copies, {len(day.servers)} servers, {account.client_requests} requests"
    )
    console.print(_figures(account))
    console.print(f"served by second  [cyan]{sparkline(account.by_second)}[/]")
    if day.faults:
        console.print(_troubles(history, account))
    _say_verdict(console, verdict)


def sparkline(parts: list[float]) -> str:
    """Parts from 0 to 1, a character each."""
    return "".join(_BLOCKS[min(max(round(each * 8), 0), 8)] for each in parts)


def _figures(account: Account) -> Table:
    table = Table(show_header=False, box=None, pad_edge=False)
    table.add_column(style="dim")
    table.add_column()
    rows = {
        "served": f"{account.served_fraction:.4f}, {account.net_value_served:.4f} after prices",
        "by class": _named(account.by_class),
        "by zone": _named(account.by_zone),
        "refused, failed": f"{account.rejected_fraction:.4f}, {account.failed_fraction:.4f} of first tries",
        "attempts": f"{account.attempts_per_request:.3f} a first try",
        "latency, ms": ", ".join(f"{name} {value:.1f}" for name, value in account.latency_ms.items()),
        "prices": _named(account.prices),
    }
    for name, value in rows.items():
        table.add_row(name, value)
    return table


def _named(values: dict[str, float]) -> str:
    return ", ".join(f"{escape(name)} {value:.4f}" for name, value in values.items())


def _troubles(history: History, account: Account) -> Table:
    table = Table(
        "trouble", "kind", "from, s", "to, s", "who", "served again after, s", box=None, pad_edge=False
    )
    for each, (_, _, seconds) in zip(history.run.faults, account.recovery_s, strict=True):
        who = ", ".join(each.parties[:4]) + (
            f" and {len(each.parties) - 4} more" if len(each.parties) > 4 else ""
        )
        back = "not by the end" if seconds is None else f"{seconds:.1f}"
        times = f"{each.start_us / US_PER_S:.2f}", f"{each.end_us / US_PER_S:.2f}"
        table.add_row(str(each.number), each.kind, *times, escape(who), back)
    return table


def rows(console: Console, given: list[Row]) -> None:
    """What was compared, world by world."""
    for world in dict.fromkeys(each.world for each in given):
        own = [each for each in given if each.world == world]
        heads = "days", "broken", "served", "worth", "refused", "attempts", "p99, ms"
        table = Table(world, *heads, f"worth against {own[0].variant}, 95%", box=None, pad_edge=False)
        for each in own:
            ahead = ""
            if each.ahead is not None and each.low is not None and each.high is not None:
                colour = "green" if each.low > 0 else "red" if each.high < 0 else "default"
                ahead = f"[{colour}]{each.ahead:+.4f} ({each.low:+.4f} to {each.high:+.4f})[/]"
            figures = f"{each.served:.4f}", f"{each.worth:.4f}", f"{each.refused:.4f}", f"{each.attempts:.3f}"
            broken = f"[red]{each.broken}[/]" if each.broken else "0"
            name = escape(each.variant)
            table.add_row(name, str(each.days), broken, *figures, f"{each.p99_ms:.1f}", ahead)
        console.print(table)


def _say_verdict(console: Console, verdict: Verdict) -> None:
    console.print(f"rules: [bold {_COLOURS.get(verdict.label, 'yellow')}]{verdict.label}[/]")
    for breach in verdict.violations[:_MOST_BREACHES]:
        console.print(f"  {breach.at_us / US_PER_S:9.3f} s  {breach.invariant}: {escape(breach.text)}")
    if len(verdict.violations) > _MOST_BREACHES:
        console.print(f"  and {len(verdict.violations) - _MOST_BREACHES} more")
    for each in verdict.unscored_reasons:
        console.print(f"  not scored: {escape(each)}")
