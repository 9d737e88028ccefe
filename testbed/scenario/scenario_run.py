"""A scenario run: a scenario drawn with a seed, as plain data that any engine can play.

The first event of every event log holds its run.  Times are whole microseconds since the start of the run.
Parties are named `copy:N` (a replica), `server:N` and `discovery`.  Attributes whose name differs from the
event log's are pinned to it by `msgspec.field(name=...)`.
"""

from __future__ import annotations

import msgspec

DISCOVERY = "discovery"
US_PER_S = 1_000_000


class _Record(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of the parts of a run: immutable, and an unknown field is an error."""


class ServiceClass(_Record, frozen=True):
    """A service class: idempotency, deadline and latency objective, priority weights and load."""

    name: str
    idempotency: str = msgspec.field(name="repeat")
    idempotency_scope: str = msgspec.field(name="group")
    idempotency_window_us: int = msgspec.field(name="memory_us")
    deadline_us: int
    latency_objective_us: int = msgspec.field(name="aim_us")
    priority_weight: float = msgspec.field(name="worth")
    # The fraction of the priority weight that a response earns after the latency objective.
    late_priority_weight: float = msgspec.field(name="late_worth")
    share: float  # of all requests; the shares sum to 1
    mean_work_us: float = msgspec.field(name="work_us")


class Zone(_Record, frozen=True):
    """A zone and its region."""

    name: str
    region: str


class Tenant(_Record, frozen=True):
    """A tenant and its share of the requests."""

    name: str
    share: float  # of all requests; the shares sum to 1


class Server(_Record, frozen=True):
    """A server: location, capacity, speed, slow start and behaviour under overload."""

    number: int
    zone: str
    cell: int
    slots: int  # requests processed at once
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
    """What all replicas have in common: settings, and limits of their processes."""

    max_attempts: int = msgspec.field(name="attempts")  # for one request
    may_message_peers: bool = msgspec.field(name="datagrams")
    membership: dict[str, bool | float]  # of the configuration
    has_admin_interface: bool = msgspec.field(name="console")
    # The platform holds the listening socket and passes it to each process; requires the admin interface.
    has_inherited_listener: bool = msgspec.field(name="operated")
    keeps_temp_folder: bool = msgspec.field(name="keeps_folder")  # across restarts
    memory_limit_mb: int = msgspec.field(name="memory_mb")
    socket_limit: int = msgspec.field(name="sockets")


class Discovery(_Record, frozen=True):
    """The discovery service: its delays, failure rate and way of notification."""

    notification_delay_us: int = msgspec.field(name="late_us")  # from a change until it is listed
    service_time_us: int = msgspec.field(name="call_us")  # per poll; polls are handled one after another
    max_queueing_us: int = msgspec.field(name="wait_us")  # a poll that would wait longer fails
    failure_rate: float = msgspec.field(name="fail_rate")
    max_poll_interval_us: int = msgspec.field(name="ask_within_us")
    is_pushed: bool = msgspec.field(name="pushed")


class Network(_Record, frozen=True):
    """The network: one-way delays, datagram loss and the connect timeout."""

    delay_us: int
    cross_zone_delay_us: int = msgspec.field(name="other_zone_us")  # in addition to `delay_us`
    cross_region_delay_us: int = msgspec.field(name="other_region_us")  # in addition to both
    datagram_loss: float
    connect_timeout_us: int = msgspec.field(name="dial_timeout_us")


class Clients(_Record, frozen=True):
    """The clients: request rate, timeout, retries, connections and request bodies."""

    rate_per_s: float
    timeout_fraction: float = msgspec.field(name="patience")  # of the class's deadline, for each attempt
    max_retries: int = msgspec.field(name="retries")
    backoff_us: int
    max_connections: int = msgspec.field(name="connections")  # to one replica
    body_bytes: int
    key_count: int = msgspec.field(name="keys")
    has_exponential_work: bool = msgspec.field(name="exponential")


class Fault(_Record, frozen=True):
    """One fault.  A fault of links applies between `parties` and `other_parties`."""

    number: int
    kind: str
    start_us: int = msgspec.field(name="at_us")
    end_us: int = msgspec.field(name="until_us")  # equal to the start: permanent, or over at once
    parties: tuple[str, ...] = msgspec.field(name="who")
    other_parties: tuple[str, ...] = msgspec.field(default=(), name="others")
    both_ways: bool = False
    amount: float = 0.0  # its unit depends on the kind, see `testbed.scenario.schema`


class ScenarioRun(_Record, frozen=True):
    """A scenario drawn with a seed: everything that an engine needs to play it."""

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
    # For a variant: the path of a key of the replica's settings (a.b), and its value as JSON.
    changed_setting: tuple[str, str] | None = msgspec.field(default=None, name="changed")

    def zone_of(self, party: str) -> str:
        """The zone of a party; an empty string for discovery, which has none."""
        kind, _, number = party.partition(":")
        if kind == "copy":
            return self.replicas[int(number)].zone
        if kind == "server":
            return self.servers[int(number)].zone
        return ""

    def delay_us(self, source: str, target: str) -> int:
        """The one-way delay between two parties, without faults."""
        source_zone, target_zone = self.zone_of(source), self.zone_of(target)
        delay = self.network.delay_us
        if source_zone and target_zone and source_zone != target_zone:
            delay += self.network.cross_zone_delay_us
            regions = {zone.name: zone.region for zone in self.zones}
            if regions[source_zone] != regions[target_zone]:
                delay += self.network.cross_region_delay_us
        return delay
