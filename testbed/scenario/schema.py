"""A world file: what may stand in it, with units, bounds and defaults.

A figure is a number, or a range `[low, high]` that each day draws from.  Names end in their unit; what has
none is a count, a part from 0 to 1, or a multiple.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

Range = Annotated[list[float], Field(min_length=2, max_length=2)]
Quantity = float | Range
Party = Annotated[
    str,
    Field(pattern=r"^(discovery|(copy|server):(\*|[0-9]{1,4}|[0-9]{1,3}%)|zone:[A-Za-z0-9._-]{1,64})$"),
]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


def _bounded(low: float, high: float) -> AfterValidator:
    """A figure, or both ends of its range, from `low` to `high`."""

    def check(figure: Quantity) -> Quantity:
        ends = figure if isinstance(figure, list) else [figure]
        if not all(low <= each <= high for each in ends):
            raise ValueError(f"give a number, or a range [low, high], from {low:g} to {high:g}")
        if ends[0] > ends[-1]:
            raise ValueError("give the lower end of the range first")
        return figure

    return AfterValidator(check)


Fraction = Annotated[Quantity, _bounded(0.0, 1.0)]
Positive = Annotated[Quantity, _bounded(1e-3, 1e6)]
Amount = Annotated[Quantity, _bounded(0.0, 1e6)]
Count = Annotated[Quantity, _bounded(1, 2_000)]
Millis = Annotated[Quantity, _bounded(0.0, 600_000.0)]
Seconds = Annotated[Quantity, _bounded(0.0, 3_600.0)]


class _Table(BaseModel):
    """A table of the file; unknown keys are faults."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceClass(_Table):
    """A class of requests."""

    name: Name
    idempotency: Literal["read_like", "idempotency_key", "non_idempotent"] = Field(
        default="read_like", alias="repeat"
    )
    idempotency_scope: Literal["all", "zone", "cell"] = Field(
        default="cell", alias="group"
    )  # of idempotency_key: which servers drop repeats
    idempotency_window_ms: Millis = Field(
        default=5_000.0, alias="memory_ms"
    )  # of idempotency_key: for how long
    deadline_ms: Annotated[Quantity, _bounded(10.0, 60_000.0)] = 1_000.0
    latency_objective_ms: Annotated[Quantity, _bounded(1.0, 60_000.0)] = Field(default=250.0, alias="aim_ms")
    priority_weight: Positive = Field(default=1.0, alias="worth")
    late_priority_weight: Fraction = Field(
        default=0.2, alias="late_worth"
    )  # what is left of the worth past the aim
    share: Positive = 1.0  # of the requests, relative to the other classes
    mean_work_ms: Annotated[Quantity, _bounded(0.01, 10_000.0)] = Field(
        default=5.0, alias="work_ms"
    )  # mean, on one slot of speed 1


class Zone(_Table):
    """A zone; zones of one region are nearer to each other."""

    name: Name
    region: Name = "here"


class ServerGroup(_Table):
    """Servers, spread evenly over the zones, or in the one named."""

    count: Count
    zone: Name | None = None
    slots: Count = 4.0  # requests in work at once
    queue_limit: Annotated[Quantity, _bounded(0.0, 1e6)] = Field(
        default=16.0, alias="queue"
    )  # and waiting; more are turned away
    speed: Positive = 1.0
    cells: Count = 1.0  # groups that drop the repeats of keyed requests
    slow_start_initial_capacity: Annotated[Quantity, _bounded(0.01, 1.0)] = Field(
        default=0.2, alias="cold_from"
    )  # part of the capacity right after a start
    slow_start_s: Seconds = Field(default=10.0, alias="cold_s")  # and until it has all of it
    overload_threshold: Count = Field(
        default=1_000.0, alias="crowd_from"
    )  # requests held from which it loses speed
    overload_slowdown: Fraction = Field(
        default=0.0, alias="crowd_loss"
    )  # part of its speed lost where it holds twice as many
    max_connections: Annotated[Quantity, _bounded(1, 1e5)] = Field(default=10_000.0, alias="connections")
    error_rate: Fraction = 0.0


class Sidecars(_Table):
    """The copies of the program, spread evenly over the zones."""

    count: Count
    peak_to_mean_load: Annotated[Quantity, _bounded(1.0, 100.0)] = Field(
        default=1.0, alias="uneven"
    )  # the busiest gets so many times the mean
    max_attempts: Annotated[Quantity, _bounded(1, 16)] = Field(
        default=4.0, alias="attempts"
    )  # for one request
    may_message_peers: bool = Field(default=True, alias="datagrams")  # whether they may send to each other
    membership: dict[str, bool | float] = {}  # of the configuration, as it is
    has_admin_interface: bool = Field(default=False, alias="console")  # with a door for operators
    has_inherited_listener: bool = Field(
        default=False, alias="operated"
    )  # with that, and a listening socket that the platform holds
    temp_folder: Literal["kept", "fresh"] = Field(default="kept", alias="folder")  # at a restart
    memory_limit_mb: Annotated[Quantity, _bounded(32, 4_096)] = Field(default=192.0, alias="memory_mb")
    socket_limit: Annotated[Quantity, _bounded(64, 65_536)] = Field(default=1_024.0, alias="sockets")


class Discovery(_Table):
    """The one service that lists servers."""

    notification_delay_ms: Millis = Field(default=100.0, alias="late_ms")  # from a change to when it can tell
    service_time_ms: Millis = Field(
        default=1.0, alias="call_ms"
    )  # of its time for a call; it handles one after another
    max_queueing_ms: Annotated[Quantity, _bounded(1.0, 60_000.0)] = Field(
        default=500.0, alias="wait_ms"
    )  # a call that would wait longer fails
    failure_rate: Fraction = Field(default=0.0, alias="fail_rate")
    max_poll_interval_ms: Annotated[Quantity, _bounded(500.0, 60_000.0)] = Field(
        default=10_000.0, alias="ask_within_ms"
    )
    is_pushed: bool = Field(default=False, alias="pushed")


class Network(_Table):
    """What lies between any two parties.  Delays are one way."""

    delay_ms: Annotated[Quantity, _bounded(0.0, 1_000.0)] = 0.0
    cross_zone_delay_ms: Annotated[Quantity, _bounded(0.0, 1_000.0)] = Field(
        default=0.0, alias="other_zone_ms"
    )  # added
    cross_region_delay_ms: Annotated[Quantity, _bounded(0.0, 1_000.0)] = Field(
        default=0.0, alias="other_region_ms"
    )  # added on top
    datagram_loss: Fraction = 0.0
    connect_timeout_ms: Annotated[Quantity, _bounded(10.0, 10_000.0)] = Field(
        default=200.0, alias="dial_timeout_ms"
    )


class Clients(_Table):
    """The application beside each sidecar: open loop, arrivals wait for no answer."""

    rate_per_s: Positive
    timeout_fraction: Annotated[Quantity, _bounded(0.05, 1.0)] = Field(
        default=1.0, alias="patience"
    )  # part of the class's deadline for one try
    max_retries: Annotated[Quantity, _bounded(0, 10)] = Field(default=0.0, alias="retries")
    backoff_ms: Millis = 50.0
    max_connections: Annotated[Quantity, _bounded(1, 1_000)] = Field(
        default=32.0, alias="connections"
    )  # to one sidecar
    body_bytes: Annotated[Quantity, _bounded(0, 65_536)] = 0.0  # of requests that are no GET
    key_count: Annotated[Quantity, _bounded(1, 1e7)] = Field(default=1_000.0, alias="keys")
    work_distribution: Literal["fixed", "exponential"] = Field(default="exponential", alias="work")


class Tenant(_Table):
    """A tenant and its share of the requests."""

    name: Name
    share: Positive = 1.0


class TimedFault(_Table):
    """A trouble: when it begins, and for how long it holds."""

    start_s: Seconds = Field(alias="at_s")
    duration_s: Seconds = Field(default=0.0, alias="for_s")


class ReplicaFault(TimedFault):
    """What happens to processes of the program.

    kill: SIGKILL, started again after `for_s` (never, if 0).  term: SIGTERM, started again once it ended.
    pause: SIGSTOP, SIGCONT after `for_s`.  hup: SIGHUP.  upgrade: a second process beside the first, which
    then gets SIGTERM.  clock: it starts again with a clock that is `amount` seconds ahead.  full, read_only,
    damaged: its folder, for `for_s`; a damaged one is garbage once, at a restart.
    """

    kind: Literal["kill", "term", "pause", "hup", "upgrade", "clock", "full", "read_only", "damaged"]
    parties: Annotated[list[Party], Field(min_length=1)] = Field(alias="who")
    amount: Annotated[Quantity, _bounded(-1e9, 1e9)] = 0.0
    stagger_s: Seconds = Field(default=0.0, alias="step_s")  # between one copy and the next


class ServerFault(TimedFault):
    """What happens to servers.

    crash: its process ends, and comes back cold after `for_s` (never, if 0).  silent: its machine says
    nothing.  slow: `amount` times its speed.  errors: an `amount` part of its answers.  drain: listed as
    leaving, gone after `for_s`.
    """

    kind: Literal["crash", "silent", "slow", "errors", "drain"]
    parties: Annotated[list[Party], Field(min_length=1)] = Field(alias="who")
    amount: Amount = 0.5
    stagger_s: Seconds = Field(default=0.0, alias="step_s")


class LinkFault(TimedFault):
    """What happens between two sets of parties, one way or both.

    cut: nothing passes; what waits is passed on afterwards.  hold: what is sent meanwhile comes when it
    ends (bytes of connections too).  delay: `amount` ms more.  loss, double, reorder: an `amount` part of
    the datagrams.  reset: an `amount` part of the answers is cut off in the middle.
    """

    kind: Literal["cut", "hold", "delay", "loss", "double", "reorder", "reset"]
    parties: Annotated[list[Party], Field(min_length=1)] = Field(alias="between")
    other_parties: Annotated[list[Party], Field(min_length=1)] = Field(alias="to")
    both_ways: bool = True
    amount: Amount = 0.0


class DiscoveryFault(TimedFault):
    """discovery_down: calls fail and watches end.  discovery_late: changes are told `amount` ms later."""

    kind: Literal["discovery_down", "discovery_late"]
    amount: Amount = 0.0


class LoadFault(TimedFault):
    """surge: `amount` times the rate."""

    kind: Literal["surge"]
    amount: Positive = 1.5


Fault = Annotated[
    ReplicaFault | ServerFault | LinkFault | DiscoveryFault | LoadFault, Field(discriminator="kind")
]


class Scenario(_Table):
    """The whole file."""

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
