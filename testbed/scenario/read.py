"""Reads a world file; what is wrong with it is told all at once, by key, with the value and a remedy."""

from __future__ import annotations

import tomllib
from importlib import resources
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from testbed.scenario.schema import Scenario

_SHIPPED = resources.files("testbed.scenario") / "scenarios"


class ScenarioError(Exception):
    """A world that can't be played; `errors` holds one line for each."""

    def __init__(self, source: str, errors: list[str]) -> None:
        super().__init__(f"{source}: " + "; ".join(errors))
        self.source, self.errors = source, errors


def shipped_scenarios() -> list[str]:
    """The names of the worlds that come with the package."""
    return sorted(
        each.name.removesuffix(".toml") for each in _SHIPPED.iterdir() if each.name.endswith(".toml")
    )


def shipped_scenario(name: str) -> Scenario:
    """A world that comes with the package; raise WorldError if there is none of this name."""
    return parse_scenario(_shipped_text(name), name)


def _shipped_text(name: str) -> str:
    if name not in shipped_scenarios():
        raise ScenarioError(
            name, [f"no such file, and no shipped world: choose from {', '.join(shipped_scenarios())}"]
        )
    return (_SHIPPED / f"{name}.toml").read_text()


def read_scenario(path: str) -> Scenario:
    """A world from a file, or a shipped one by its name; raise WorldError with every fault."""
    return parse_scenario(scenario_text(path), path)


def scenario_text(path: str) -> str:
    """The text of a world file, or of a shipped one by its name; raise WorldError if there is none."""
    file = Path(path)
    if not file.exists() and file.suffix != ".toml":
        return _shipped_text(path)
    try:
        return file.read_text()
    except (OSError, UnicodeDecodeError) as fault:
        raise ScenarioError(path, [f"can't be read: {fault}"]) from None


def parse_scenario(text: str, source: str) -> Scenario:
    """A world from TOML; raise WorldError with every fault."""
    try:
        given = tomllib.loads(text)
    except tomllib.TOMLDecodeError as fault:
        raise ScenarioError(source, [f"no TOML: {fault}"]) from None
    try:
        world = Scenario.model_validate(given)
    except ValidationError as nonsense:
        raise ScenarioError(source, [_worded(dict(each)) for each in nonsense.errors()]) from None
    faults = _contradictions(world)
    if faults:
        raise ScenarioError(source, faults)
    return world


def _worded(fault: dict[str, Any]) -> str:
    # The names of a union's members stand in the path too, but in no file.
    parts = [each for each in fault["loc"] if isinstance(each, int) or not _is_of_a_union(each)]
    key = ""
    for each in parts:
        key += f"[{each}]" if isinstance(each, int) else f"{'.' if key else ''}{each}"
    given = "" if fault["type"] == "missing" else f" (given: {fault['input']!r:.60})"
    remedy = {"missing": "is needed", "extra_forbidden": "is no key here: take it out"}
    return (
        f"{key or 'the file'}: {remedy.get(fault['type'], fault['msg'].removeprefix('Value error, '))}{given}"
    )


def _is_of_a_union(part: str) -> bool:
    return part in _KINDS or not part.isidentifier()


_KINDS = frozenset(
    [
        *("float", "list"),
        *("kill", "term", "pause", "hup", "upgrade", "clock", "full", "read_only", "damaged"),
        *("crash", "silent", "slow", "errors", "drain"),
        *("cut", "hold", "delay", "loss", "double", "reorder", "reset"),
        *("discovery_down", "discovery_late", "surge"),
    ]
)


def _contradictions(world: Scenario) -> list[str]:
    """Faults that no key shows by itself."""
    faults = []
    zones = [each.name for each in world.zones]
    for label, names in (
        ("zones", zones),
        ("classes", [each.name for each in world.classes]),
        ("tenants", [each.name for each in world.tenants]),
    ):
        twice = sorted({each for each in names if names.count(each) > 1})
        faults += [f"{label}: the name {each!r} stands twice: give each its own" for each in twice]
    for index, group in enumerate(world.servers):
        if group.zone is not None and group.zone not in zones:
            faults.append(f"servers[{index}].zone: {group.zone!r} is none of zones: {', '.join(zones)}")
    for index, trouble in enumerate(world.faults):
        key = f"troubles[{index}]"
        if trouble.start_s and _least(trouble.start_s) >= world.duration_s:
            faults.append(f"{key}.at_s: begins after the day's {world.duration_s:g} s: make the day longer")
        for word in _parties(trouble):
            kind, _, which = word.partition(":")
            if kind == "zone" and which not in zones:
                faults.append(f"{key}: zone {which!r} is none of zones: {', '.join(zones)}")
            if not _fits(trouble.kind, kind):
                faults.append(f"{key}: {trouble.kind} does not happen to {word!r}: name {_FIT[trouble.kind]}")
        if trouble.kind == "upgrade" and not world.sidecars.has_inherited_listener:
            faults.append(f"{key}: an upgrade needs sidecars.operated = true")
    return faults


_FIT = {
    **dict.fromkeys(
        ["kill", "term", "pause", "hup", "upgrade", "clock", "full", "read_only", "damaged"], "copies"
    ),
    **dict.fromkeys(["crash", "silent", "slow", "errors", "drain"], "servers"),
}


def _fits(trouble: str, party: str) -> bool:
    wanted = _FIT.get(trouble)
    return wanted is None or party == "zone" or wanted == {"copy": "copies", "server": "servers"}.get(party)


def _parties(trouble: Any) -> list[str]:
    return [word for name in ("parties", "other_parties") for word in getattr(trouble, name, [])]


def _least(figure: float | list[float]) -> float:
    return figure[0] if isinstance(figure, list) else figure
