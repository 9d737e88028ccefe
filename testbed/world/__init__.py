"""A deployment and its troubles, described once for every engine, and the days drawn from it."""

from testbed.world.arrivals import Arrival, arrivals
from testbed.world.day import Day
from testbed.world.draw import draw
from testbed.world.read import WorldError, read, shipped, shipped_worlds, text_of

__all__ = ["Arrival", "Day", "WorldError", "arrivals", "draw", "read", "shipped", "shipped_worlds", "text_of"]
