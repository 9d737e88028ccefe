"""A deployment and its troubles, described once for every engine, and the days drawn from it."""

from plumtrestle.world.arrivals import Arrival, arrivals
from plumtrestle.world.day import Day
from plumtrestle.world.draw import draw
from plumtrestle.world.read import WorldError, read, shipped, shipped_worlds, text_of

__all__ = ["Arrival", "Day", "WorldError", "arrivals", "draw", "read", "shipped", "shipped_worlds", "text_of"]
