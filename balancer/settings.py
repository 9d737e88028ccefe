"""Typed settings of the balancer.

Durations are integers in microseconds.  Settings carry what a decision, or the program around the balancer,
can act on; the balancer itself does not read all of them.  The names of services are left out on purpose: a
decision that followed a name would be wrong elsewhere.  How settings are read from the platform's
format is in `settings_wire`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, unique

from balancer.events import Outcome


@unique
class Idempotency(Enum):
    """Whether a request of a class may be executed more than once."""

    IDEMPOTENT = "idempotent"
    WITH_KEY = "with_key"  # servers of one scope drop repeats of a key for a while
    NOT_IDEMPOTENT = "not_idempotent"


@unique
class IdempotencyScope(Enum):
    """Which servers drop the repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@unique
class DiscoveryMode(Enum):
    """Whether changes of the endpoint list are pushed or have to be watched for."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


@unique
class CapacityHint(Enum):
    """What an endpoint's nominal capacity means."""

    NONE = "silent"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


@unique
class LoadReportSource(Enum):
    """Where load reports come from."""

    RESPONSES = "responses"
    HEALTH_CHECKS = "health_checks"
    NONE = "none"


@unique
class PriorityWeightUnit(Enum):
    """What a class's priority weight is counted for."""

    REQUEST = "request"
    WORK = "work"


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """One class of requests and what its clients expect."""

    name: str
    deadline_us: int  # clients give up then
    latency_objective_us: int  # no more than the deadline
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
    """What the deployment permits."""

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
    max_open_requests: int | None = None  # at once, enforced by the sidecar; None: no limit
    cpu_us_per_s: int | None = None  # CPU time of the instance; None: no limit
    cpu_us_per_request: float = 0.0  # average CPU time; 0: no limit


@dataclass(frozen=True, slots=True)
class Guarantees:
    """What the platform guarantees and requires.  The defaults are the cautious ends."""

    response_slack_us: int = 0
    max_poll_interval_us: int = 10_000_000
    drain_grace_us: int = 0
    slow_start_initial_capacity: float = 0.1
    slow_start_us: int = 30_000_000
    overload_multiple: float = 1.0
    overload_window_us: int = 2_000_000
    full_may_have_executed: bool = False  # "full" does not prove that nothing was done
    close_idle_within_us: int | None = None  # of a drain; None: not required

    def proves_not_executed(self, outcome: Outcome) -> bool:
        """Whether the outcome proves that the server did nothing of the request."""
        if outcome is Outcome.FULL:
            return not self.full_may_have_executed
        return outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class Costs:
    """What extra work costs, as a fraction of the value of all service, mostly for one unit a request."""

    cross_zone: float = 0.0
    health_check: float = 0.0
    peer_message: float = 0.0  # for 256 bytes a request, delivered
    wasted_work: float = 0.0  # server time without a response, as much as was requested
    handshake: float = 0.0
    connection: float = 0.0  # for a hundred open connections a server
    discovery: float = 0.0  # for a hundred entries of endpoint lists a request
    late_failure: float = 0.0  # for all requests failing after their latency objective


@dataclass(frozen=True, slots=True)
class Objective:
    """How the deployment is judged: the weights of its measures; all zero: not known."""

    total: float = 0.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    tail: float = 0.0
    tail_slack: float = 0.0  # fraction of requests that may miss their objective


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an instance knows at its start."""

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
    machine_types: tuple[str, ...] = ()  # that endpoint lists may name
    clients_mark_retries: bool = False
    warm_keys: bool = False  # a server that has met a key lately needs less time for it
