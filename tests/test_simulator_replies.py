"""The decisions of the reference runs are the recorded ones."""

from __future__ import annotations

import json
from typing import Any

import pytest
from simulator_driver import RECORDED, digest
from simulator_scenarios import SCENARIOS, Scenario


def _recorded() -> dict[str, Any]:
    recorded: dict[str, Any] = json.loads(RECORDED.read_text(encoding="utf-8"))
    return recorded


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_replies_have_the_recorded_digest(scenario: Scenario) -> None:
    assert digest(scenario) == _recorded()[scenario.name]


def test_every_record_has_a_scenario() -> None:
    assert list(_recorded()) == [scenario.name for scenario in SCENARIOS]


def test_records_hold_no_internal_error() -> None:
    assert not any("INTERNAL_ERROR" in record["lines"] for record in _recorded().values())


@pytest.mark.parametrize(
    "kind", ["ASSIGN", "NOT_NOW", "SURRENDER", "ABORT_ATTEMPT", "REMIND", "SHUT_IDLE", "FOLLOW", "REMARK"]
)
def test_records_hold_every_kind_of_action(kind: str) -> None:
    assert sum(record["lines"].get(kind, 0) for record in _recorded().values()) > 10
