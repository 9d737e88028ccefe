"""Finds the outer names: those that follow from schemas and those that stand in the code as strings."""

from __future__ import annotations

import ast
import dataclasses
import re
import sqlite3
from collections.abc import Callable, Iterator
from functools import cache
from pathlib import Path
from typing import Any

import msgspec
import typer

from sidecar.cluster.settings import MembershipSettings, RolloutSettings
from sidecar.log_events import LogEvent
from testbed import cli, events
from testbed.capacity import rows
from testbed.capacity.samples import Run
from testbed.checker.time_series import TimeSeries
from testbed.experiment.cell import Cell
from testbed.experiment.store import Store
from testbed.scale import plan, worker
from testbed.scenario.schema import Scenario

ROOT = Path(__file__).parent.parent
LIST = Path(__file__).parent / "data" / "outer_names.txt"


def listed() -> dict[str, list[str]]:
    """Return the names of the list by their heading."""
    names: dict[str, list[str]] = {}
    for line in LIST.read_text(encoding="utf-8").splitlines():
        if line.startswith("# "):
            names[line[2:]] = []
        elif line:
            names[list(names)[-1]].append(line)
    return names


# ---------------------------------------------------------------------------------------------------
# Names that follow from schemas


def schema_names(schema: object) -> Iterator[str]:
    """Yield the properties and the fixed values of a JSON schema."""
    if isinstance(schema, dict):
        properties = schema.get("properties", {})
        yield from properties
        yield from (value for value in schema.get("enum", []) if isinstance(value, str))
        if isinstance(schema.get("const"), str):
            yield schema["const"]
        for key, value in schema.items():
            yield from schema_names(list(value.values()) if key in ("properties", "$defs") else value)
    elif isinstance(schema, list):
        for item in schema:
            yield from schema_names(item)


def struct_names(*types: Any) -> set[str]:
    """Return the fields and tags of msgspec types, as they are written."""
    return set(schema_names(list(msgspec.json.schema_components(types))))


def command_names() -> set[str]:
    """Return the commands of the test bed, and the options and arguments of each behind its name."""
    group: Any = typer.main.get_command(cli.app)
    names = set()
    for name, command in group.commands.items():
        names.add(name)
        for parameter in command.params:
            texts = [*parameter.opts, *parameter.secondary_opts]
            if parameter.param_type_name == "argument":
                texts = [parameter.metavar or parameter.name.upper()]
            names.update(f"{name} {text}" for text in texts)
    return names


def settings_names() -> set[str]:
    """Return the keys of membership and rollout in the configuration."""
    settings = (*dataclasses.fields(MembershipSettings), *dataclasses.fields(RolloutSettings))
    return {setting.metadata.get("key", setting.name) for setting in settings}


def store_names(folder: Path) -> set[str]:
    """Return the tables and columns of an experiment store that is made in a folder."""
    path = folder / "store.sqlite"
    Store(path).close()
    base = sqlite3.connect(path)
    tables = [name for (name,) in base.execute("SELECT name FROM sqlite_master WHERE type = 'table'")]
    columns = [row[1] for table in tables for row in base.execute(f"PRAGMA table_info({table})")]
    base.close()
    return {*tables, *columns}


FROM_SCHEMAS: dict[str, Callable[[Path], set[str]]] = {
    "membership and rollout in the configuration": lambda _: settings_names(),
    "log events of the sidecar": lambda _: {
        event.name for event in LogEvent.__subclasses__() if hasattr(event, "name")
    },
    "scenario files": lambda _: set(schema_names(Scenario.model_json_schema(by_alias=True))),
    "event log of the test bed": lambda _: struct_names(events.Event),
    "time series of a report": lambda _: struct_names(TimeSeries),
    "commands of the test bed": lambda _: command_names(),
    "experiment store": store_names,
    "cells of an experiment": lambda _: struct_names(Cell),
    "capacity runs": lambda _: struct_names(Run),
    "rows.toml": lambda _: struct_names(rows.Table),
    "scale workers": lambda _: struct_names(worker.Share, worker.Order, worker.Reply),
    "scale plans": lambda _: struct_names(plan.Plan),
}


# ---------------------------------------------------------------------------------------------------
# Names that stand in the code

# Where the names under each heading are read or written.
SEARCHED = {
    "HTTP with clients and servers": ("sidecar",),
    "texts in responses to clients": ("sidecar/http", "sidecar/downstream"),
    "discovery": ("sidecar/discovery",),
    "settings": ("balancer/settings_wire.py", "balancer/settings.py"),
    "configuration file": ("sidecar",),
    "environment variables": ("sidecar", "testbed"),
    "files of the sidecar": ("sidecar",),
    "datagrams": ("sidecar/cluster",),
    "admin interface": ("sidecar/admin_interface.py",),
    "metrics": ("sidecar",),
    "log lines of the balancer": ("balancer",),
    "lines at a failed start": ("sidecar/log_events.py",),
    "simulator": ("balancer/simulator_adapter.py", "balancer/events.py"),
    "deploy file": ("deploy/balancer.toml",),
    "files of the test bed": ("testbed",),
    "verdicts of the test bed": ("testbed",),
    "results of a run": ("testbed/report",),
    "results of a comparison": ("testbed/experiment/compare.py", "testbed/cli.py"),
    "variants and policies": ("testbed",),
    "orders of scale workers": ("testbed/scale",),
    "measures of capacity runs": ("testbed", "bench"),
    "cases, parts and engines of capacity runs": ("testbed", "bench"),
    "options of benches": ("bench", "testbed/cluster_simulation"),
}


@cache
def texts_of(place: str) -> tuple[str, ...]:
    """Return all strings of the code in a file or folder but docstrings, and names that become keys."""
    path = ROOT / place
    files = sorted(path.rglob("*.py")) if path.is_dir() else [path]
    found: list[str] = []
    for file in files:
        source = file.read_text(encoding="utf-8")
        if file.suffix == ".py":
            found.extend(_texts(ast.parse(source)))
        else:
            found.append(source)
    return tuple(found)


def _texts(tree: ast.AST) -> Iterator[str]:
    docstrings = {
        node.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and node not in docstrings:
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1")
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            yield node.target.id  # a field of a data class, which may be written under its own name


def occurs(name: str, places: tuple[str, ...]) -> bool:
    """Return whether a name occurs as a whole in the code of one of the places."""
    whole = re.compile(rf"(?<![\w-]){re.escape(name)}(?![\w-])")
    return any(whole.search(text) for place in places for text in texts_of(place))
