"""A world file: what may stand in it, with units, bounds and defaults.

A figure is a number, or a range `[low, high]` that each day draws from.  Names end in their unit; what has
none is a count, a part from 0 to 1, or a multiple.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

Range = Annotated[list[float], Field(min_length=2, max_length=2)]
Figure = float | Range
Party = Annotated[
    str,
    Field(pattern=r"^(discovery|(copy|server):(\*|[0-9]{1,4}|[0-9]{1,3}%)|zone:[A-Za-z0-9._-]{1,64})$"),
]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


def _bounded(low: float, high: float) -> AfterValidator:
    """A figure, or both ends of its range, from `low` to `high`."""

    def check(figure: Figure) -> Figure:
        ends = figure if isinstance(figure, list) else [figure]
        if not all(low <= each <= high for each in ends):
            raise ValueError(f"give a number, or a range [low, high], from {low:g} to {high:g}")
        if ends[0] > ends[-1]:
            raise ValueError("give the lower end of the range first")
        return figure

    return AfterValidator(check)


Part = Annotated[Figure, _bounded(0.0, 1.0)]
Positive = Annotated[Figure, _bounded(1e-3, 1e6)]
Amount = Annotated[Figure, _bounded(0.0, 1e6)]
Count = Annotated[Figure, _bounded(1, 2_000)]
Millis = Annotated[Figure, _bounded(0.0, 600_000.0)]
Seconds = Annotated[Figure, _bounded(0.0, 3_600.0)]


class Table(BaseModel):
    """A table of the file; unknown keys are faults."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceClass(Table):
    """A class of requests."""

    name: Name
    repeat: Literal["read_like", "idempotency_key", "non_idempotent"] = "read_like"
    group: Literal["all", "zone", "cell"] = "cell"  # of idempotency_key: which servers drop repeats
    memory_ms: Millis = 5_000.0  # of idempotency_key: for how long
    deadline_ms: Annotated[Figure, _bounded(10.0, 60_000.0)] = 1_000.0
    aim_ms: Annotated[Figure, _bounded(1.0, 60_000.0)] = 250.0
    worth: Positive = 1.0
    late_worth: Part = 0.2  # what is left of the worth past the aim
    share: Positive = 1.0  # of the requests, relative to the other classes
    work_ms: Annotated[Figure, _bounded(0.01, 10_000.0)] = 5.0  # mean, on one slot of speed 1


class Zone(Table):
    """A zone; zones of one region are nearer to each other."""

    name: Name
    region: Name = "here"


class Servers(Table):
    """Servers, spread evenly over the zones, or in the one named."""

    count: Count
    zone: Name | None = None
    slots: Count = 4.0  # requests in work at once
    queue: Annotated[Figure, _bounded(0.0, 1e6)] = 16.0  # and waiting; more are turned away
    speed: Positive = 1.0
    cells: Count = 1.0  # groups that drop the repeats of keyed requests
    cold_from: Annotated[Figure, _bounded(0.01, 1.0)] = 0.2  # part of the capacity right after a start
    cold_s: Seconds = 10.0  # and until it has all of it
    crowd_from: Count = 1_000.0  # requests held from which it loses speed
    crowd_loss: Part = 0.0  # part of its speed lost where it holds twice as many
    connections: Annotated[Figure, _bounded(1, 1e5)] = 10_000.0
    error_rate: Part = 0.0


class Sidecars(Table):
    """The copies of the program, spread evenly over the zones."""

    count: Count
    uneven: Annotated[Figure, _bounded(1.0, 100.0)] = 1.0  # the busiest gets so many times the mean
    attempts: Annotated[Figure, _bounded(1, 16)] = 4.0  # for one request
    datagrams: bool = True  # whether they may send to each other
    membership: dict[str, bool | float] = {}  # of the configuration, as it is
    console: bool = False  # with a door for operators
    operated: bool = False  # with that, and a listening socket that the platform holds
    folder: Literal["kept", "fresh"] = "kept"  # at a restart
    memory_mb: Annotated[Figure, _bounded(32, 4_096)] = 192.0
    sockets: Annotated[Figure, _bounded(64, 65_536)] = 1_024.0


class Discovery(Table):
    """The one service that lists servers."""

    late_ms: Millis = 100.0  # from a change to when it can tell
    call_ms: Millis = 1.0  # of its time for a call; it handles one after another
    wait_ms: Annotated[Figure, _bounded(1.0, 60_000.0)] = 500.0  # a call that would wait longer fails
    fail_rate: Part = 0.0
    ask_within_ms: Annotated[Figure, _bounded(500.0, 60_000.0)] = 10_000.0
    pushed: bool = False


class Network(Table):
    """What lies between any two parties.  Delays are one way."""

    delay_ms: Annotated[Figure, _bounded(0.0, 1_000.0)] = 0.0
    other_zone_ms: Annotated[Figure, _bounded(0.0, 1_000.0)] = 0.0  # added
    other_region_ms: Annotated[Figure, _bounded(0.0, 1_000.0)] = 0.0  # added on top
    datagram_loss: Part = 0.0
    dial_timeout_ms: Annotated[Figure, _bounded(10.0, 10_000.0)] = 200.0


class Clients(Table):
    """The application beside each sidecar: open loop, arrivals wait for no answer."""

    rate_per_s: Positive
    patience: Annotated[Figure, _bounded(0.05, 1.0)] = 1.0  # part of the class's deadline for one try
    retries: Annotated[Figure, _bounded(0, 10)] = 0.0
    backoff_ms: Millis = 50.0
    connections: Annotated[Figure, _bounded(1, 1_000)] = 32.0  # to one sidecar
    body_bytes: Annotated[Figure, _bounded(0, 65_536)] = 0.0  # of requests that are no GET
    keys: Annotated[Figure, _bounded(1, 1e7)] = 1_000.0
    work: Literal["fixed", "exponential"] = "exponential"


class Tenant(Table):
    """A tenant and its share of the requests."""

    name: Name
    share: Positive = 1.0


class Timed(Table):
    """A trouble: when it begins, and for how long it holds."""

    at_s: Seconds
    for_s: Seconds = 0.0


class OfCopies(Timed):
    """What happens to processes of the program.

    kill: SIGKILL, started again after `for_s` (never, if 0).  term: SIGTERM, started again once it ended.
    pause: SIGSTOP, SIGCONT after `for_s`.  hup: SIGHUP.  upgrade: a second process beside the first, which
    then gets SIGTERM.  clock: it starts again with a clock that is `amount` seconds ahead.  full, read_only,
    damaged: its folder, for `for_s`; a damaged one is garbage once, at a restart.
    """

    kind: Literal["kill", "term", "pause", "hup", "upgrade", "clock", "full", "read_only", "damaged"]
    who: Annotated[list[Party], Field(min_length=1)]
    amount: Annotated[Figure, _bounded(-1e9, 1e9)] = 0.0
    step_s: Seconds = 0.0  # between one copy and the next


class OfServers(Timed):
    """What happens to servers.

    crash: its process ends, and comes back cold after `for_s` (never, if 0).  silent: its machine says
    nothing.  slow: `amount` times its speed.  errors: an `amount` part of its answers.  drain: listed as
    leaving, gone after `for_s`.
    """

    kind: Literal["crash", "silent", "slow", "errors", "drain"]
    who: Annotated[list[Party], Field(min_length=1)]
    amount: Amount = 0.5
    step_s: Seconds = 0.0


class OfLinks(Timed):
    """What happens between two sets of parties, one way or both.

    cut: nothing passes; what waits is passed on afterwards.  hold: what is sent meanwhile comes when it
    ends (bytes of connections too).  delay: `amount` ms more.  loss, double, reorder: an `amount` part of
    the datagrams.  reset: an `amount` part of the answers is cut off in the middle.
    """

    kind: Literal["cut", "hold", "delay", "loss", "double", "reorder", "reset"]
    between: Annotated[list[Party], Field(min_length=1)]
    to: Annotated[list[Party], Field(min_length=1)]
    both_ways: bool = True
    amount: Amount = 0.0


class OfDiscovery(Timed):
    """discovery_down: calls fail and watches end.  discovery_late: changes are told `amount` ms later."""

    kind: Literal["discovery_down", "discovery_late"]
    amount: Amount = 0.0


class OfLoad(Timed):
    """surge: `amount` times the rate."""

    kind: Literal["surge"]
    amount: Positive = 1.5


Trouble = Annotated[OfCopies | OfServers | OfLinks | OfDiscovery | OfLoad, Field(discriminator="kind")]


class World(Table):
    """The whole file."""

    name: Name
    about: str = ""
    seconds: Annotated[float, Field(ge=1.0, le=3_600.0)] = 30.0
    classes: Annotated[list[ServiceClass], Field(min_length=1, max_length=32)]
    zones: Annotated[list[Zone], Field(min_length=1, max_length=64)] = [Zone(name="a")]
    tenants: Annotated[list[Tenant], Field(max_length=256)] = []
    servers: Annotated[list[Servers], Field(min_length=1, max_length=64)]
    sidecars: Sidecars
    discovery: Discovery = Discovery()
    network: Network = Network()
    clients: Clients
    troubles: Annotated[list[Trouble], Field(max_length=1_000)] = []
