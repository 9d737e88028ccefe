"""A deployment and its troubles, described once for every engine, and the days drawn from it."""

from testbed.scenario.arrivals import Arrival, arrivals
from testbed.scenario.day import Day
from testbed.scenario.draw import draw
from testbed.scenario.read import WorldError, read, shipped, shipped_worlds, text_of

__all__ = ["Arrival", "Day", "WorldError", "arrivals", "draw", "read", "shipped", "shipped_worlds", "text_of"]
