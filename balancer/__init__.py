"""Load-balancing decisions of a sidecar: takes events and returns actions, without any I/O."""

from balancer.balancer import Balancer
from balancer.settings import Settings

__all__ = ["Balancer", "Settings"]
__version__ = "0.1.0"
