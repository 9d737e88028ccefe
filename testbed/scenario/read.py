"""Reads scenario files.

All errors of a file are reported at once, each with the key, the value and what is allowed.
"""

from __future__ import annotations

import tomllib
from importlib import resources
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from testbed.scenario import schema
from testbed.scenario.schema import Scenario

_SHIPPED = resources.files("testbed.scenario") / "scenarios"


class ScenarioError(Exception):
    """A scenario file that is missing or invalid; `errors` holds one line for each error."""

    def __init__(self, source: str, errors: list[str]) -> None:
        super().__init__(f"{source}: " + "; ".join(errors))
        self.source, self.errors = source, errors


def shipped_scenarios() -> list[str]:
    """Return the names of the scenarios that come with the package."""
    return sorted(
        file.name.removesuffix(".toml") for file in _SHIPPED.iterdir() if file.name.endswith(".toml")
    )


def shipped_scenario(name: str) -> Scenario:
    """Return a scenario that comes with the package; raise ScenarioError if there is none of this name."""
    return parse_scenario(_shipped_text(name), name)


def _shipped_text(name: str) -> str:
    if name not in shipped_scenarios():
        raise ScenarioError(
            name, [f"no such file, and no shipped world: choose from {', '.join(shipped_scenarios())}"]
        )
    return (_SHIPPED / f"{name}.toml").read_text()


def read_scenario(path: str) -> Scenario:
    """Read a scenario file, or a shipped scenario by its name; raise ScenarioError if that fails."""
    return parse_scenario(scenario_text(path), path)


def scenario_text(path: str) -> str:
    """Return the text of a scenario file, or of a shipped one by its name.

    Raises:
        ScenarioError: There is no such file, or it can't be read.
    """
    file = Path(path)
    if not file.exists() and file.suffix != ".toml":
        return _shipped_text(path)
    try:
        return file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(path, [f"can't be read: {error}"]) from None


def parse_scenario(text: str, source: str) -> Scenario:
    """Parse the text of a scenario file; raise ScenarioError, which names `source`, with all errors."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(source, [f"invalid TOML: {error}"]) from None
    try:
        scenario = Scenario.model_validate(document)
    except ValidationError as invalid:
        raise ScenarioError(source, [_error_line(dict(details)) for details in invalid.errors()]) from None
    errors = _inconsistencies(scenario)
    if errors:
        raise ScenarioError(source, errors)
    return scenario


def _error_line(details: dict[str, Any]) -> str:
    """Describe one of pydantic's errors by the key of the file, what is allowed, and the value."""
    # Pydantic's path also holds the branch of a union that was tried, which is no key of the file.
    path = [step for step in details["loc"] if isinstance(step, int) or not _is_union_branch(step)]
    key = ""
    for step in path:
        key += f"[{step}]" if isinstance(step, int) else f"{'.' if key else ''}{step}"
    value = "" if details["type"] == "missing" else f" (given: {details['input']!r:.60})"
    messages = {"missing": "is required", "extra_forbidden": "unknown key: remove it"}
    message = messages.get(details["type"], details["msg"].removeprefix("Value error, "))
    return f"{key or 'the file'}: {message}{value}"


def _is_union_branch(step: str) -> bool:
    return step in _UNION_BRANCHES or not step.isidentifier()


_REPLICA_FAULTS = ("kill", "term", "pause", "hup", "upgrade", "clock", "full", "read_only", "damaged")
_SERVER_FAULTS = ("crash", "silent", "slow", "errors", "drain")
_LINK_FAULTS = ("cut", "hold", "delay", "loss", "double", "reorder", "reset")
_UNION_BRANCHES = frozenset(
    [
        *("float", "list"),  # of a quantity
        *_REPLICA_FAULTS,
        *_SERVER_FAULTS,
        *_LINK_FAULTS,
        *("discovery_down", "discovery_late", "surge"),
    ]
)


def _inconsistencies(scenario: Scenario) -> list[str]:
    """Describe the errors that concern more than one key: duplicate and unknown names, wrong parties."""
    errors = []
    zones = [zone.name for zone in scenario.zones]
    for label, names in (
        ("zones", zones),
        ("classes", [service_class.name for service_class in scenario.classes]),
        ("tenants", [tenant.name for tenant in scenario.tenants]),
    ):
        duplicates = sorted({name for name in names if names.count(name) > 1})
        errors += [f"{label}: the name {name!r} is used more than once" for name in duplicates]
    for index, group in enumerate(scenario.servers):
        if group.zone is not None and group.zone not in zones:
            errors.append(f"servers[{index}].zone: {group.zone!r} is none of zones: {', '.join(zones)}")
    for index, fault in enumerate(scenario.faults):
        key = f"troubles[{index}]"
        if fault.start_s and _lower_end(fault.start_s) >= scenario.duration_s:
            errors.append(f"{key}.at_s: must be before the end of the run at {scenario.duration_s:g} s")
        for pattern in _party_patterns(fault):
            kind, _, which = pattern.partition(":")
            if kind == "zone" and which not in zones:
                errors.append(f"{key}: zone {which!r} is none of zones: {', '.join(zones)}")
            if not _applies_to(fault.kind, kind):
                errors.append(
                    f"{key}: {fault.kind} does not apply to {pattern!r}: name {_PARTY_KINDS[fault.kind]}"
                )
        if fault.kind == "upgrade" and not scenario.sidecars.has_inherited_listener:
            errors.append(f"{key}: an upgrade requires sidecars.operated = true")
    return errors


# What each kind of fault applies to, in the words of the file; the other kinds apply to any party.
_PARTY_KINDS = {**dict.fromkeys(_REPLICA_FAULTS, "copies"), **dict.fromkeys(_SERVER_FAULTS, "servers")}


def _applies_to(fault_kind: str, party_kind: str) -> bool:
    allowed = _PARTY_KINDS.get(fault_kind)
    return (
        allowed is None
        or party_kind == "zone"
        or allowed == {"copy": "copies", "server": "servers"}.get(party_kind)
    )


def _party_patterns(fault: schema.Fault) -> list[str]:
    """Return the patterns of all parties that a fault names."""
    return [pattern for name in ("parties", "other_parties") for pattern in getattr(fault, name, [])]


def _lower_end(quantity: schema.Quantity) -> float:
    return quantity[0] if isinstance(quantity, list) else quantity
