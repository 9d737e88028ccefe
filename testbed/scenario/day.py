"""A day: one draw from a world, as plain data that any engine plays and any log begins with.

Times are whole microseconds from the day's start.  Parties are named `copy:N`, `server:N` and `discovery`.
"""

from __future__ import annotations

import msgspec

DISCOVERY = "discovery"
US = 1_000_000


class Plain(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A value of a day."""


class ServiceClass(Plain, frozen=True):
    """A class of requests: repetition rules, time limits (microseconds) and priority weights."""

    name: str
    repeat: str
    group: str
    memory_us: int
    deadline_us: int
    aim_us: int
    worth: float
    late_worth: float
    share: float  # of all requests; the shares sum to 1
    work_us: float  # mean


class Zone(Plain, frozen=True):
    """A zone and the region it lies in."""

    name: str
    region: str


class Tenant(Plain, frozen=True):
    """A tenant and its share of the requests."""

    name: str
    share: float


class Server(Plain, frozen=True):
    """A server: its place, capacity, speed and warm-up (microseconds)."""

    number: int
    zone: str
    cell: int
    slots: int
    queue: int
    speed: float
    cold_from: float
    cold_us: int
    crowd_from: int
    crowd_loss: float
    connections: int
    error_rate: float

    @property
    def party(self) -> str:
        """The server's name in links and faults."""
        return f"server:{self.number}"


class Copy(Plain, frozen=True):
    """A replica of the sidecar, its zone and its share of the requests."""

    number: int
    zone: str
    share: float  # of all requests; the shares sum to 1

    @property
    def party(self) -> str:
        """The replica's name in links and faults."""
        return f"copy:{self.number}"


class Sidecars(Plain, frozen=True):
    """What all replicas have in common: settings and limits of their processes."""

    attempts: int
    datagrams: bool
    membership: dict[str, bool | float]
    console: bool  # operated, or without a socket that the platform holds
    operated: bool
    keeps_folder: bool
    memory_mb: int
    sockets: int


class Discovery(Plain, frozen=True):
    """Service discovery: its delays (microseconds), failure rate and way of notification."""

    late_us: int
    call_us: int
    wait_us: int
    fail_rate: float
    ask_within_us: int
    pushed: bool


class Network(Plain, frozen=True):
    """The network: delays (microseconds), datagram loss and connect timeout."""

    delay_us: int
    other_zone_us: int
    other_region_us: int
    datagram_loss: float
    dial_timeout_us: int


class Clients(Plain, frozen=True):
    """The clients: request rate, retries, connections and bodies."""

    rate_per_s: float
    patience: float
    retries: int
    backoff_us: int
    connections: int
    body_bytes: int
    keys: int
    exponential: bool


class Trouble(Plain, frozen=True):
    """One trouble of one kind; `who` and, for links, `others` are parties."""

    number: int
    kind: str
    at_us: int
    until_us: int  # equal to at_us: it has no end, or none is needed
    who: tuple[str, ...]
    others: tuple[str, ...] = ()
    both_ways: bool = False
    amount: float = 0.0


class Day(Plain, frozen=True):
    """A scenario drawn with a seed: everything that a run needs."""

    world: str
    seed: int
    length_us: int
    classes: tuple[ServiceClass, ...]
    zones: tuple[Zone, ...]
    tenants: tuple[Tenant, ...]
    servers: tuple[Server, ...]
    copies: tuple[Copy, ...]
    sidecars: Sidecars
    discovery: Discovery
    network: Network
    clients: Clients
    troubles: tuple[Trouble, ...]
    changed: tuple[str, str] | None = None  # a key of the settings (a.b) and its value as JSON, for a variant

    def zone_of(self, party: str) -> str:
        """The zone that a party stands in; discovery stands in none."""
        kind, _, number = party.partition(":")
        if kind == "copy":
            return self.copies[int(number)].zone
        if kind == "server":
            return self.servers[int(number)].zone
        return ""

    def delay_us(self, one: str, other: str) -> int:
        """How long a byte takes from one party to another, without troubles."""
        here, there = self.zone_of(one), self.zone_of(other)
        delay = self.network.delay_us
        if here and there and here != there:
            delay += self.network.other_zone_us
            regions = {each.name: each.region for each in self.zones}
            if regions[here] != regions[there]:
                delay += self.network.other_region_us
        return delay
