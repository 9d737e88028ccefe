"""The format of a scenario file: its keys with their units, bounds and defaults.

A quantity is a number, or a range `[low, high]` from which each run draws a number.  The name of a key ends
in its unit; a key without one is a count, a fraction from 0 to 1, or a multiple.  Attributes whose name
differs from the file's key are pinned to the key by an alias; the attribute's own name is not accepted.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

Range = Annotated[list[float], Field(min_length=2, max_length=2)]
Quantity = float | Range
# Discovery; replicas (`copy`) or servers: all (*), one by its number, or a random part; all of a zone.
Party = Annotated[
    str,
    Field(pattern=r"^(discovery|(copy|server):(\*|[0-9]{1,4}|[0-9]{1,3}%)|zone:[A-Za-z0-9._-]{1,64})$"),
]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


def _bounded(low: float, high: float) -> AfterValidator:
    """Check that a quantity, or both ends of its range, lie from `low` to `high`."""

    def check(quantity: Quantity) -> Quantity:
        ends = quantity if isinstance(quantity, list) else [quantity]
        if not all(low <= end <= high for end in ends):
            raise ValueError(f"must be a number, or a range [low, high], from {low:g} to {high:g}")
        if ends[0] > ends[-1]:
            raise ValueError("the lower end of a range must come first")
        return quantity

    return AfterValidator(check)


Fraction = Annotated[Quantity, _bounded(0.0, 1.0)]
Positive = Annotated[Quantity, _bounded(1e-3, 1e6)]
Amount = Annotated[Quantity, _bounded(0.0, 1e6)]
Count = Annotated[Quantity, _bounded(1, 2_000)]
Millis = Annotated[Quantity, _bounded(0.0, 600_000.0)]
Seconds = Annotated[Quantity, _bounded(0.0, 3_600.0)]


class _Table(BaseModel):
    """A table of the file; an unknown key is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceClass(_Table):
    """A service class.  Idempotency scope and window apply to classes with idempotency keys."""

    name: Name
    idempotency: Literal["read_like", "idempotency_key", "non_idempotent"] = Field(
        default="read_like", alias="repeat"
    )
    # Which servers drop a request whose key one of them has already processed, and for how long.
    idempotency_scope: Literal["all", "zone", "cell"] = Field(default="cell", alias="group")
    idempotency_window_ms: Millis = Field(default=5_000.0, alias="memory_ms")
    deadline_ms: Annotated[Quantity, _bounded(10.0, 60_000.0)] = 1_000.0
    latency_objective_ms: Annotated[Quantity, _bounded(1.0, 60_000.0)] = Field(default=250.0, alias="aim_ms")
    priority_weight: Positive = Field(default=1.0, alias="worth")
    # The fraction of the priority weight that a response earns after the latency objective.
    late_priority_weight: Fraction = Field(default=0.2, alias="late_worth")
    share: Positive = 1.0  # of the requests, relative to the other classes
    # Mean processing time on one slot of a server of speed 1.
    mean_work_ms: Annotated[Quantity, _bounded(0.01, 10_000.0)] = Field(default=5.0, alias="work_ms")


class Zone(_Table):
    """A zone.  Links between zones of one region have a shorter delay than links between regions."""

    name: Name
    region: Name = "here"


class ServerGroup(_Table):
    """A group of servers: all in the named zone, or spread evenly over all zones."""

    count: Count
    zone: Name | None = None
    slots: Count = 4.0  # requests processed at once
    # Requests that may wait for a slot; further ones are answered with "full".
    queue_limit: Annotated[Quantity, _bounded(0.0, 1e6)] = Field(default=16.0, alias="queue")
    speed: Positive = 1.0
    cells: Count = 1.0  # sets of servers, each of which may be the scope of idempotency keys
    # The fraction of the capacity right after a start, and the time until the full capacity is reached.
    slow_start_initial_capacity: Annotated[Quantity, _bounded(0.01, 1.0)] = Field(
        default=0.2, alias="cold_from"
    )
    slow_start_s: Seconds = Field(default=10.0, alias="cold_s")
    # Requests processed or waiting above which speed is lost, and the fraction lost at twice that number.
    overload_threshold: Count = Field(default=1_000.0, alias="crowd_from")
    overload_slowdown: Fraction = Field(default=0.0, alias="crowd_loss")
    max_connections: Annotated[Quantity, _bounded(1, 1e5)] = Field(default=10_000.0, alias="connections")
    error_rate: Fraction = 0.0


class Sidecars(_Table):
    """The replicas of the sidecar, spread evenly over the zones."""

    count: Count
    # The load of the busiest replica as a multiple of that of the least busy one.
    max_to_min_load: Annotated[Quantity, _bounded(1.0, 100.0)] = Field(default=1.0, alias="uneven")
    max_attempts: Annotated[Quantity, _bounded(1, 16)] = Field(default=4.0, alias="attempts")  # for a request
    may_message_peers: bool = Field(default=True, alias="datagrams")
    membership: dict[str, bool | float] = {}  # passed on unchanged in each replica's configuration
    has_admin_interface: bool = Field(default=False, alias="console")
    # The platform holds the listening socket and passes it to each process; implies the admin interface.
    has_inherited_listener: bool = Field(default=False, alias="operated")
    # Whether the folder for temporary files survives a restart.
    temp_folder: Literal["kept", "fresh"] = Field(default="kept", alias="folder")
    memory_limit_mb: Annotated[Quantity, _bounded(32, 4_096)] = Field(default=192.0, alias="memory_mb")
    socket_limit: Annotated[Quantity, _bounded(64, 65_536)] = Field(default=1_024.0, alias="sockets")


class Discovery(_Table):
    """The discovery service, which lists the servers.  It handles polls one after another."""

    notification_delay_ms: Millis = Field(default=100.0, alias="late_ms")  # from a change until it is listed
    service_time_ms: Millis = Field(default=1.0, alias="call_ms")  # per poll
    # A poll that would wait longer for its turn fails.
    max_queueing_ms: Annotated[Quantity, _bounded(1.0, 60_000.0)] = Field(default=500.0, alias="wait_ms")
    failure_rate: Fraction = Field(default=0.0, alias="fail_rate")
    max_poll_interval_ms: Annotated[Quantity, _bounded(500.0, 60_000.0)] = Field(
        default=10_000.0, alias="ask_within_ms"
    )
    is_pushed: bool = Field(default=False, alias="pushed")


class Network(_Table):
    """The network between any two parties.  Delays are one-way and add up."""

    delay_ms: Annotated[Quantity, _bounded(0.0, 1_000.0)] = 0.0
    cross_zone_delay_ms: Annotated[Quantity, _bounded(0.0, 1_000.0)] = Field(
        default=0.0, alias="other_zone_ms"
    )
    cross_region_delay_ms: Annotated[Quantity, _bounded(0.0, 1_000.0)] = Field(
        default=0.0, alias="other_region_ms"
    )
    datagram_loss: Fraction = 0.0
    connect_timeout_ms: Annotated[Quantity, _bounded(10.0, 10_000.0)] = Field(
        default=200.0, alias="dial_timeout_ms"
    )


class Clients(_Table):
    """The application beside each sidecar: an open loop, in which arrivals do not wait for responses."""

    rate_per_s: Positive
    # The timeout of each attempt of a client, as a fraction of the class's deadline.
    timeout_fraction: Annotated[Quantity, _bounded(0.05, 1.0)] = Field(default=1.0, alias="patience")
    max_retries: Annotated[Quantity, _bounded(0, 10)] = Field(default=0.0, alias="retries")
    backoff_ms: Millis = 50.0
    # To one replica; further requests wait for a connection.
    max_connections: Annotated[Quantity, _bounded(1, 1_000)] = Field(default=32.0, alias="connections")
    body_bytes: Annotated[Quantity, _bounded(0, 65_536)] = 0.0  # of requests other than GET
    key_count: Annotated[Quantity, _bounded(1, 1e7)] = Field(default=1_000.0, alias="keys")
    work_distribution: Literal["fixed", "exponential"] = Field(default="exponential", alias="work")


class Tenant(_Table):
    """A tenant and its share of the requests."""

    name: Name
    share: Positive = 1.0  # relative to the other tenants


class TimedFault(_Table):
    """Base class of faults: start and duration."""

    start_s: Seconds = Field(alias="at_s")
    duration_s: Seconds = Field(default=0.0, alias="for_s")


class ReplicaFault(TimedFault):
    """A fault of replica processes.

    kill: SIGKILL; restarted after `for_s`, or never if that is 0.  term: SIGTERM; restarted when it has
    ended.  pause: SIGSTOP, and SIGCONT after `for_s`.  hup: SIGHUP.  upgrade: a second process is started;
    when it is ready, the first one gets SIGTERM.  clock: killed and restarted with a wall clock that is
    `amount` seconds ahead.  full, read_only: for `for_s`, no file of the process may grow, or its folder for
    temporary files is read-only.  damaged: killed and restarted, with each file of that folder truncated or
    ending in garbage.
    """

    kind: Literal["kill", "term", "pause", "hup", "upgrade", "clock", "full", "read_only", "damaged"]
    parties: Annotated[list[Party], Field(min_length=1)] = Field(alias="who")
    amount: Annotated[Quantity, _bounded(-1e9, 1e9)] = 0.0
    stagger_s: Seconds = Field(default=0.0, alias="step_s")  # between one replica and the next


class ServerFault(TimedFault):
    """A fault of servers.

    crash: the process ends; restarted after `for_s`, in slow start, or never if that is 0.  silent: cut off
    from all replicas.  slow: speed multiplied by `amount`.  errors: a fraction of `amount` of the responses
    are errors.  drain: listed as leaving, and gone after `for_s`.
    """

    kind: Literal["crash", "silent", "slow", "errors", "drain"]
    parties: Annotated[list[Party], Field(min_length=1)] = Field(alias="who")
    amount: Amount = 0.5
    stagger_s: Seconds = Field(default=0.0, alias="step_s")  # between one server and the next


class LinkFault(TimedFault):
    """A fault of the links between two sets of parties, in one direction or both.

    cut: nothing passes; bytes of connections arrive after its end, datagrams are lost.  hold: all that is
    sent meanwhile arrives when it ends, datagrams too.  delay: `amount` ms more delay.  loss, double,
    reorder: applies to a fraction of `amount` of the datagrams.  reset: a fraction of `amount` of the
    responses is cut off in the middle.
    """

    kind: Literal["cut", "hold", "delay", "loss", "double", "reorder", "reset"]
    parties: Annotated[list[Party], Field(min_length=1)] = Field(alias="between")
    other_parties: Annotated[list[Party], Field(min_length=1)] = Field(alias="to")
    both_ways: bool = True
    amount: Amount = 0.0


class DiscoveryFault(TimedFault):
    """A fault of the discovery service.

    discovery_down: polls fail and watches end.  discovery_late: changes are listed `amount` ms later.
    """

    kind: Literal["discovery_down", "discovery_late"]
    amount: Amount = 0.0


class LoadFault(TimedFault):
    """A change of the load.  surge: the request rate is multiplied by `amount`."""

    kind: Literal["surge"]
    amount: Positive = 1.5


Fault = Annotated[
    ReplicaFault | ServerFault | LinkFault | DiscoveryFault | LoadFault, Field(discriminator="kind")
]


class Scenario(_Table):
    """A scenario file."""

    name: Name
    about: str = ""
    duration_s: Annotated[float, Field(ge=1.0, le=3_600.0)] = Field(default=30.0, alias="seconds")
    classes: Annotated[list[ServiceClass], Field(min_length=1, max_length=32)]
    zones: Annotated[list[Zone], Field(min_length=1, max_length=64)] = [Zone(name="a")]
    tenants: Annotated[list[Tenant], Field(max_length=256)] = []
    servers: Annotated[list[ServerGroup], Field(min_length=1, max_length=64)]
    sidecars: Sidecars
    discovery: Discovery = Discovery()
    network: Network = Network()
    clients: Clients
    faults: Annotated[list[Fault], Field(max_length=1_000)] = Field(default=[], alias="troubles")
