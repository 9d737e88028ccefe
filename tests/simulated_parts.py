"""What the simulation of the reference runs holds: servers, requests, attempts and instances."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

MS = 1_000
S = 1_000_000
FOREVER_US = 3_600 * S

Message = list[Any]


@dataclass
class SimulatedServer:
    """A server: how it works, and what service discovery says of it."""

    name: str
    zone: str
    cell: int
    nominal: float
    speed: float
    concurrency: int
    queue_limit: int
    state: str = "ready"
    started_at: int | None = None
    is_up: bool = True
    is_reachable: bool = True
    behaviour: str = "normal"  # or the verdict it gives instead of an answer, or "silent"
    slowness: float = 1.0
    idle_dies_us: int = FOREVER_US
    in_flight: int = 0

    def listed(self) -> Message:
        return [self.name, self.zone, "box", self.cell, self.state, self.nominal, self.started_at]


@dataclass
class SimulatedAttempt:
    """One attempt of a request."""

    server: SimulatedServer
    sent_at: int
    until: int
    is_pending: bool = True
    is_started: bool = False


@dataclass
class SimulatedRequest:
    """A client's request at one instance."""

    number: int
    kind: dict[str, Any]
    work_us: int
    arrived_at: int
    deadline: int
    arriving: bool
    is_answered: bool = False
    attempts: list[SimulatedAttempt] = field(default_factory=list)


@dataclass
class SimulatedInstance:
    """One balancer's surroundings: its requests, connections and subscription."""

    number: int
    life: int = 0
    is_running: bool = False
    is_subscribed: bool = False
    requests: dict[int, SimulatedRequest] = field(default_factory=dict)
    idle_since: dict[str, int] = field(default_factory=dict)

    @property
    def who(self) -> str:
        return f"sidecar-{self.number}"
