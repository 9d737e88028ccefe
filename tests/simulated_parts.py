"""The state of a simulated reference run: servers, requests, attempts and sidecar instances."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

MS = 1_000
S = 1_000_000
FOREVER_US = 3_600 * S

Message = list[Any]


@dataclass
class SimulatedServer:
    """A server: its performance, its faults and its entry in the endpoint list."""

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
    behaviour: str = "normal"  # or the outcome of its attempts ("app_error" etc.), or "silent"
    latency_factor: float = 1.0
    idle_timeout_us: int = FOREVER_US  # after which it ignores requests on an idle connection
    in_flight: int = 0

    def list_entry(self) -> Message:
        return [self.name, self.zone, "box", self.cell, self.state, self.nominal, self.started_at]


@dataclass
class SimulatedAttempt:
    """One attempt of a request."""

    server: SimulatedServer
    sent_at: int
    timeout_at: int
    is_pending: bool = True
    is_started: bool = False


@dataclass
class SimulatedRequest:
    """A client's request to one sidecar instance."""

    number: int
    service_class: dict[str, Any]  # its settings
    work_us: int
    arrived_at: int
    deadline: int
    is_body_arriving: bool
    is_settled: bool = False
    attempts: list[SimulatedAttempt] = field(default_factory=list)


@dataclass
class SimulatedSidecar:
    """One sidecar instance: its requests, idle connections and subscription to endpoint lists."""

    number: int
    incarnation: int = 0  # the number of its process, from 1
    is_running: bool = False
    is_subscribed: bool = False
    requests: dict[int, SimulatedRequest] = field(default_factory=dict)
    idle_since: dict[str, int] = field(default_factory=dict)

    @property
    def name(self) -> str:
        return f"sidecar-{self.number}"
