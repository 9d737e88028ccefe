"""Typed settings of the balancer.

Durations are integers in microseconds.  The settings hold what a decision, or the program around the
balancer, may depend on; the balancer itself does not read all of them.  Names of services are left out on
purpose: a decision that depends on a name would be wrong in another deployment.  `settings_wire` reads
settings from the platform's format.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, unique

from balancer.events import Outcome


@unique
class Idempotency(Enum):
    """Whether a request of a class may be executed more than once."""

    IDEMPOTENT = "idempotent"
    WITH_KEY = "with_key"  # within a scope, servers drop repeats of a key for a while
    NOT_IDEMPOTENT = "not_idempotent"


@unique
class IdempotencyScope(Enum):
    """Which servers drop the repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@unique
class DiscoveryMode(Enum):
    """Whether discovery pushes changes of the endpoint list or the balancer has to watch for them."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


@unique
class CapacityHint(Enum):
    """How far an endpoint's nominal capacity can be relied on."""

    NONE = "silent"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


@unique
class LoadReportSource(Enum):
    """How load reports reach the balancer."""

    RESPONSES = "responses"
    HEALTH_CHECKS = "health_checks"
    NONE = "none"


@unique
class PriorityWeightUnit(Enum):
    """Whether a class's priority weight applies to each request or to each unit of work."""

    REQUEST = "request"
    WORK = "work"


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """One class of requests and the expectations of its clients."""

    name: str
    deadline_us: int  # after which clients give up
    latency_objective_us: int  # at most the deadline
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    idempotency: Idempotency = Idempotency.NOT_IDEMPOTENT
    idempotency_scope: IdempotencyScope = IdempotencyScope.CELL
    idempotency_window_us: int = 0
    streaming: bool = False
    latency_objective_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and its quota of the fleet's capacity."""

    name: str
    quota_share: float = 1.0  # relative to those of the other tenants
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits the balancer to do, and the limits it sets."""

    max_attempts: int = 1
    hedged_requests: bool = False
    may_cancel_attempts: bool = False
    may_health_check: bool = False
    may_message_peers: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    connect_timeout_us: int = 250_000
    idle_timeout_us: int = 15_000_000
    streams_per_connection: int = 1
    max_open_requests: int | None = None  # concurrently, enforced by the sidecar; None: no limit
    cpu_us_per_s: int | None = None  # CPU time of the instance; None: no limit
    cpu_us_per_request: float = 0.0  # average CPU time; 0: no limit


@dataclass(frozen=True, slots=True)
class Guarantees:
    """What the platform guarantees and requires, with conservative defaults."""

    response_slack_us: int = 0
    max_poll_interval_us: int = 10_000_000
    drain_grace_us: int = 0
    slow_start_initial_capacity: float = 0.1
    slow_start_us: int = 30_000_000
    overload_multiple: float = 1.0
    overload_window_us: int = 2_000_000
    full_may_have_executed: bool = False  # whether a "full" response does not prove that nothing was executed
    close_idle_within_us: int | None = None  # after the start of a drain; None: not required

    def proves_not_executed(self, outcome: Outcome) -> bool:
        """Whether the outcome proves that the server did not execute the request."""
        if outcome is Outcome.FULL:
            return not self.full_may_have_executed
        return outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class Costs:
    """Costs of extra work, as fractions of the value of all service; by default for one unit per request."""

    cross_zone: float = 0.0
    health_check: float = 0.0
    peer_message: float = 0.0  # for 256 bytes delivered per request
    wasted_work: float = 0.0  # for as much server time without a response as was requested
    handshake: float = 0.0
    connection: float = 0.0  # for a hundred open connections per server
    discovery: float = 0.0  # for a hundred entries of endpoint lists per request
    late_failure: float = 0.0  # if all requests fail after their latency objective


@dataclass(frozen=True, slots=True)
class Objective:
    """The weights of the measures that the deployment is evaluated by; all zero if unknown."""

    total: float = 0.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    tail: float = 0.0
    tail_slack: float = 0.0  # fraction of requests that may miss their objective


@dataclass(frozen=True, slots=True)
class Settings:
    """The complete settings of an instance."""

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    instance_index: int = 0
    cluster_size: int = 1
    clock_resolution_us: int = 1_000
    discovery: DiscoveryMode = DiscoveryMode.ON_REQUEST
    capacity_hint: CapacityHint = CapacityHint.NONE
    priority_weight_unit: PriorityWeightUnit = PriorityWeightUnit.REQUEST
    over_quota_weight: float = 1.0
    load_report_source: LoadReportSource = LoadReportSource.NONE
    load_report_columns: tuple[str, ...] = ()
    limits: Limits = field(default_factory=Limits)
    guarantees: Guarantees = field(default_factory=Guarantees)
    costs: Costs = field(default_factory=Costs)
    objective: Objective = field(default_factory=Objective)
    machine_types: tuple[str, ...] = ()  # the types that may occur in endpoint lists
    clients_mark_retries: bool = False
    warm_keys: bool = False  # whether a server needs less time for a key that it has handled recently
