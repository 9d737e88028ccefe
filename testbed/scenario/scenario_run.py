"""A day: one draw from a world, as plain data that any engine plays and any log begins with.

Times are whole microseconds from the day's start.  Parties are named `copy:N`, `server:N` and `discovery`.
"""

from __future__ import annotations

import msgspec

DISCOVERY = "discovery"
US_PER_S = 1_000_000


class _Record(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A value of a day."""


class ServiceClass(_Record, frozen=True):
    """A class of requests: repetition rules, time limits (microseconds) and priority weights."""

    name: str
    idempotency: str = msgspec.field(name="repeat")
    idempotency_scope: str = msgspec.field(name="group")
    idempotency_window_us: int = msgspec.field(name="memory_us")
    deadline_us: int
    latency_objective_us: int = msgspec.field(name="aim_us")
    priority_weight: float = msgspec.field(name="worth")
    late_priority_weight: float = msgspec.field(name="late_worth")
    share: float  # of all requests; the shares sum to 1
    mean_work_us: float = msgspec.field(name="work_us")  # mean


class Zone(_Record, frozen=True):
    """A zone and the region it lies in."""

    name: str
    region: str


class Tenant(_Record, frozen=True):
    """A tenant and its share of the requests."""

    name: str
    share: float


class Server(_Record, frozen=True):
    """A server: its place, capacity, speed and warm-up (microseconds)."""

    number: int
    zone: str
    cell: int
    slots: int
    queue_limit: int = msgspec.field(name="queue")
    speed: float
    slow_start_initial_capacity: float = msgspec.field(name="cold_from")
    slow_start_us: int = msgspec.field(name="cold_us")
    overload_threshold: int = msgspec.field(name="crowd_from")
    overload_slowdown: float = msgspec.field(name="crowd_loss")
    max_connections: int = msgspec.field(name="connections")
    error_rate: float

    @property
    def party(self) -> str:
        """The server's name in links and faults."""
        return f"server:{self.number}"


class Replica(_Record, frozen=True):
    """A replica of the sidecar, its zone and its share of the requests."""

    number: int
    zone: str
    share: float  # of all requests; the shares sum to 1

    @property
    def party(self) -> str:
        """The replica's name in links and faults."""
        return f"copy:{self.number}"


class SidecarSettings(_Record, frozen=True):
    """What all replicas have in common: settings and limits of their processes."""

    max_attempts: int = msgspec.field(name="attempts")
    may_message_peers: bool = msgspec.field(name="datagrams")
    membership: dict[str, bool | float]
    has_admin_interface: bool = msgspec.field(
        name="console"
    )  # operated, or without a socket that the platform holds
    has_inherited_listener: bool = msgspec.field(name="operated")
    keeps_temp_folder: bool = msgspec.field(name="keeps_folder")
    memory_limit_mb: int = msgspec.field(name="memory_mb")
    socket_limit: int = msgspec.field(name="sockets")


class Discovery(_Record, frozen=True):
    """Service discovery: its delays (microseconds), failure rate and way of notification."""

    notification_delay_us: int = msgspec.field(name="late_us")
    service_time_us: int = msgspec.field(name="call_us")
    max_queueing_us: int = msgspec.field(name="wait_us")
    failure_rate: float = msgspec.field(name="fail_rate")
    max_poll_interval_us: int = msgspec.field(name="ask_within_us")
    is_pushed: bool = msgspec.field(name="pushed")


class Network(_Record, frozen=True):
    """The network: delays (microseconds), datagram loss and connect timeout."""

    delay_us: int
    cross_zone_delay_us: int = msgspec.field(name="other_zone_us")
    cross_region_delay_us: int = msgspec.field(name="other_region_us")
    datagram_loss: float
    connect_timeout_us: int = msgspec.field(name="dial_timeout_us")


class Clients(_Record, frozen=True):
    """The clients: request rate, retries, connections and bodies."""

    rate_per_s: float
    timeout_fraction: float = msgspec.field(name="patience")
    max_retries: int = msgspec.field(name="retries")
    backoff_us: int
    max_connections: int = msgspec.field(name="connections")
    body_bytes: int
    key_count: int = msgspec.field(name="keys")
    has_exponential_work: bool = msgspec.field(name="exponential")


class Fault(_Record, frozen=True):
    """One trouble of one kind; `who` and, for links, `others` are parties."""

    number: int
    kind: str
    start_us: int = msgspec.field(name="at_us")
    end_us: int = msgspec.field(name="until_us")  # equal to at_us: it has no end, or none is needed
    parties: tuple[str, ...] = msgspec.field(name="who")
    other_parties: tuple[str, ...] = msgspec.field(default=(), name="others")
    both_ways: bool = False
    amount: float = 0.0


class ScenarioRun(_Record, frozen=True):
    """A scenario drawn with a seed: everything that a run needs."""

    scenario: str = msgspec.field(name="world")
    seed: int
    duration_us: int = msgspec.field(name="length_us")
    classes: tuple[ServiceClass, ...]
    zones: tuple[Zone, ...]
    tenants: tuple[Tenant, ...]
    servers: tuple[Server, ...]
    replicas: tuple[Replica, ...] = msgspec.field(name="copies")
    sidecars: SidecarSettings
    discovery: Discovery
    network: Network
    clients: Clients
    faults: tuple[Fault, ...] = msgspec.field(name="troubles")
    changed_setting: tuple[str, str] | None = msgspec.field(
        default=None, name="changed"
    )  # a key of the settings (a.b) and its value as JSON, for a variant

    def zone_of(self, party: str) -> str:
        """The zone that a party stands in; discovery stands in none."""
        kind, _, number = party.partition(":")
        if kind == "copy":
            return self.replicas[int(number)].zone
        if kind == "server":
            return self.servers[int(number)].zone
        return ""

    def delay_us(self, one: str, other: str) -> int:
        """How long a byte takes from one party to another, without troubles."""
        here, there = self.zone_of(one), self.zone_of(other)
        delay = self.network.delay_us
        if here and there and here != there:
            delay += self.network.cross_zone_delay_us
            regions = {each.name: each.region for each in self.zones}
            if regions[here] != regions[there]:
                delay += self.network.cross_region_delay_us
        return delay
