"""Scenarios: a deployment and its faults, described once for every engine, and the runs drawn from it."""

from testbed.scenario.arrivals import Arrival, draw_arrivals
from testbed.scenario.draw import draw_run
from testbed.scenario.read import (
    ScenarioError,
    read_scenario,
    scenario_text,
    shipped_scenario,
    shipped_scenarios,
)
from testbed.scenario.scenario_run import ScenarioRun

__all__ = [
    "Arrival",
    "ScenarioError",
    "ScenarioRun",
    "draw_arrivals",
    "draw_run",
    "read_scenario",
    "scenario_text",
    "shipped_scenario",
    "shipped_scenarios",
]
