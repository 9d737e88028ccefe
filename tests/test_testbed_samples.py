"""Formats of the test bed as an earlier version wrote them: scenario files, scenario runs and their arrivals.

The samples are never recorded anew for a change of names.  A format that is changed on purpose gets a further
sample beside the old one.
"""

from __future__ import annotations

import json
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest
from outer_names import listed
from pydantic import BaseModel

from testbed.scenario import ScenarioError, ScenarioRun, draw_arrivals, draw_run, schema
from testbed.scenario.read import parse_scenario

SAMPLES = Path(__file__).parent / "data" / "samples"
SCENARIO = (SAMPLES / "scenario.toml").read_text(encoding="utf-8")
RUN = (SAMPLES / "scenario-run.json").read_bytes()
ARRIVALS = (SAMPLES / "scenario-arrivals.json").read_bytes()
SEED = 7
# The other value of a key that the sample sets.
NOT_IN_SAMPLE = {"fresh", "fixed"}


def _names(document: object) -> Iterator[str]:
    """Yield every key and every text of a document."""
    if isinstance(document, dict):
        for key, value in document.items():
            yield key
            yield from _names(value)
    elif isinstance(document, list):
        for item in document:
            yield from _names(item)
    elif isinstance(document, str):
        yield document


def test_recorded_scenario_holds_every_key_and_value() -> None:
    assert set(listed()["scenario files"]) - set(_names(tomllib.loads(SCENARIO))) == NOT_IN_SAMPLE


def test_recorded_scenario_is_drawn_as_recorded() -> None:
    assert msgspec.json.encode(draw_run(parse_scenario(SCENARIO, "sample"), SEED)) == RUN


def test_recorded_run_is_read_and_written_the_same() -> None:
    run = msgspec.json.decode(RUN, type=ScenarioRun)
    assert run == draw_run(parse_scenario(SCENARIO, "sample"), SEED)
    assert msgspec.json.encode(run) == RUN


def test_recorded_run_holds_every_kind_of_fault() -> None:
    kinds = {fault["kind"] for fault in json.loads(RUN)["troubles"]}
    assert kinds == set(re.findall(r'^kind = "(.*)"$', SCENARIO, re.MULTILINE))
    assert len(kinds) == 24


def test_arrivals_of_recorded_run_are_drawn_as_recorded() -> None:
    drawn = draw_arrivals(msgspec.json.decode(RUN, type=ScenarioRun))
    assert msgspec.json.encode(drawn) == ARRIVALS


def test_unknown_field_of_a_run_is_an_error() -> None:
    with pytest.raises(msgspec.ValidationError, match="unknown field"):
        msgspec.json.decode(RUN.replace(b'"patience"', b'"patience_"'), type=ScenarioRun)


LINES = SCENARIO.splitlines()
SETTINGS = [number for number, line in enumerate(LINES) if " = " in line]


@pytest.mark.parametrize("number", SETTINGS, ids=lambda number: f"{number + 1}-{LINES[number].split()[0]}")
def test_error_for_a_wrong_value_names_the_key_of_the_file(number: int) -> None:
    key = LINES[number].split(" = ")[0]
    wrong = [*LINES[:number], f"{key} = 1979-05-27", *LINES[number + 1 :]]
    with pytest.raises(ScenarioError) as raised:
        parse_scenario("\n".join(wrong), "wrong.toml")
    errors = raised.value.errors
    if key == "kind":  # the error names the table, and the key in its text
        assert any(re.match(r"troubles\[\d+\]: .*'kind'", error) for error in errors), errors
    else:
        assert all(key in re.split(r"[.\[\]]", error.partition(":")[0]) for error in errors), errors


@pytest.mark.parametrize("number", SETTINGS, ids=lambda number: f"{number + 1}-{LINES[number].split()[0]}")
def test_misspelt_key_is_an_error_that_names_it(number: int) -> None:
    key, _, value = LINES[number].partition(" = ")
    wrong = [*LINES[:number], f"{key}_ = {value}", *LINES[number + 1 :]]
    with pytest.raises(ScenarioError) as raised:
        parse_scenario("\n".join(wrong), "wrong.toml")
    if key != "kind":  # without a kind, the other keys of the table are not looked at
        paths = [error.partition(":")[0] for error in raised.value.errors]
        assert any(f"{key}_" in path.split(".") for path in paths), raised.value.errors


def _attributes() -> dict[str, set[str]]:
    """Return the attributes that hold a key of the file under another name, by key."""
    attributes: dict[str, set[str]] = {}
    for table in vars(schema).values():
        if isinstance(table, type) and issubclass(table, BaseModel):
            for attribute, field in table.model_fields.items():
                if field.alias is not None:
                    attributes.setdefault(field.alias, set()).add(attribute)
    return attributes


ATTRIBUTES = _attributes()


@pytest.mark.parametrize(
    ("number", "attribute"),
    [
        (number, attribute)
        for number in SETTINGS
        for attribute in sorted(ATTRIBUTES.get(LINES[number].split()[0], ()))
    ],
)
def test_name_of_an_attribute_is_no_key_of_the_file(number: int, attribute: str) -> None:
    value = LINES[number].partition(" = ")[2]
    wrong = [*LINES[:number], f"{attribute} = {value}", *LINES[number + 1 :]]
    with pytest.raises(ScenarioError) as raised:
        parse_scenario("\n".join(wrong), "wrong.toml")
    paths = [error.partition(":")[0] for error in raised.value.errors]
    assert any(attribute in path.split(".") for path in paths), raised.value.errors
