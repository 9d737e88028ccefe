"""Load-balancing decisions of a sidecar: events in, actions out, no I/O."""

from balancer.balancer import Balancer
from balancer.settings import Settings

__all__ = ["Balancer", "Settings"]
__version__ = "0.1.0"
