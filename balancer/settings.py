"""Typed settings of the balancer and how they are read from plain mappings.

Durations are whole microseconds.  Settings carry what a decision, or the program around the balancer, can
act on; the balancer itself does not read all of them.  The names of zones and services are left out on
purpose: a decision that followed a name would be wrong elsewhere.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any

from balancer.events import Outcome
from balancer.mapping_reader import MappingReader


@unique
class Idempotency(Enum):
    """What a class of requests says of a second attempt."""

    IDEMPOTENT = "safe"  # may run any number of times
    WITH_KEY = "keyed"  # repeats are dropped inside one group of servers, for a while
    NOT_IDEMPOTENT = "unsafe"  # must never run twice


@unique
class IdempotencyScope(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@unique
class DiscoveryMode(Enum):
    """Whether changes of the server list come unasked."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


@unique
class CapacityHint(Enum):
    """What a server's nominal figure means."""

    NONE = "silent"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


@unique
class LoadReportSource(Enum):
    """Where load reports come from."""

    RESPONSES = "answers"
    HEALTH_CHECKS = "probes"
    NONE = "silent"


@unique
class PriorityWeightUnit(Enum):
    """What a class's worth is counted for."""

    REQUEST = "request"
    WORK = "work"


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """One class of requests."""

    name: str
    deadline_us: int
    latency_objective_us: int
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    idempotency: Idempotency = Idempotency.NOT_IDEMPOTENT
    idempotency_scope: IdempotencyScope = IdempotencyScope.CELL
    idempotency_window_us: int = 0
    streaming: bool = False
    latency_objective_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and what it may ask of the whole fleet."""

    name: str
    quota_share: float = 1.0
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
    max_open_requests: int | None = None  # requests held at once, kept by the sidecar; None: no limit
    cpu_us_per_s: int | None = None  # of CPU, for the whole instance
    cpu_us_per_request: float = 0.0  # of CPU, for a request with its outcomes, on average; 0: no limit


@dataclass(frozen=True, slots=True)
class Guarantees:
    """The figures of the rules.  The defaults are the cautious ends."""

    response_slack_us: int = 0
    max_poll_interval_us: int = 10_000_000
    drain_grace_us: int = 0
    slow_start_initial_capacity: float = 0.1
    slow_start_us: int = 30_000_000
    overload_multiple: float = 1.0
    overload_window_us: int = 2_000_000
    full_may_have_executed: bool = False  # servers may answer full for work that they had begun
    close_idle_within_us: int | None = None  # idle connections to draining servers go; None: no such rule

    def proves_not_executed(self, outcome: Outcome) -> bool:
        """Whether the outcome proves that the server did nothing of the request: the one place to ask."""
        if outcome is Outcome.FULL:
            return not self.full_may_have_executed
        return outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class Costs:
    """What extra traffic costs, as a part of all service, mostly for one a request."""

    cross_zone: float = 0.0
    health_check: float = 0.0
    peer_message: float = 0.0  # for 256 bytes a request, delivered
    wasted_work: float = 0.0  # for server work without an answer, as much as was asked for
    handshake: float = 0.0
    connection: float = 0.0  # for a hundred open connections a server
    discovery: float = 0.0  # for a hundred list lines a request
    late_failure: float = 0.0  # for all worth ending unserved after its aim


@dataclass(frozen=True, slots=True)
class Objective:
    """What counts how much of the whole; all zero: not told."""

    total: float = 0.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    tail: float = 0.0
    tail_slack: float = 0.0  # the part of requests that may miss their aim before the tail shrinks


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an instance is told at its start."""

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
    machine_types: tuple[str, ...] = ()  # the kinds of machines that lists may name
    clients_mark_retries: bool = False
    warm_keys: bool = False  # a server that met a key lately needs less work for it

    @staticmethod
    def from_mapping(given: Mapping[str, Any]) -> Settings:
        """Read settings from plain nested mappings; raise ValueError, naming the key, on nonsense."""
        top = MappingReader(given, "settings")
        classes = tuple(_service_class(each) for each in top.parts("classes"))
        if not classes:
            raise ValueError("classes: at least one class of requests is needed")
        tenants = tuple(
            Tenant(each.text("name"), each.number("share", 1.0), each.number("quota_per_s", 0.0))
            for each in top.parts("tenants")
        )
        for label, names in (("classes", [c.name for c in classes]), ("tenants", [t.name for t in tenants])):
            if len(set(names)) != len(names):
                raise ValueError(f"{label}: a name stands twice")
        report = top.part("report")
        limits, rules, prices = top.part("limits"), top.part("rules"), top.part("prices")
        goal, habits, domain = top.part("goal"), top.part("client_habits"), top.part("domain")
        return Settings(
            classes=classes,
            tenants=tenants,
            zone=top.text("zone", ""),
            instance_index=top.whole("me", 0),
            cluster_size=top.whole("group_size", 1, low=1),
            clock_resolution_us=top.whole("tick_us", 1_000, low=1),
            discovery=top.choice("discovery", DiscoveryMode, DiscoveryMode.ON_REQUEST),
            capacity_hint=top.choice("weights", CapacityHint, CapacityHint.NONE),
            priority_weight_unit=top.choice("worth_by", PriorityWeightUnit, PriorityWeightUnit.REQUEST),
            over_quota_weight=top.number("over_share_worth", 1.0, high=1.0),
            load_report_source=report.choice("source", LoadReportSource, LoadReportSource.NONE),
            load_report_columns=report.texts("columns"),
            limits=Limits(
                max_attempts=limits.whole("max_attempts", 1),
                hedged_requests=limits.flag("second_copies", False),
                may_cancel_attempts=limits.flag("may_cancel", False),
                may_health_check=limits.flag("may_probe", False),
                may_message_peers=limits.flag("may_message", False),
                retry_after=limits.flag("retry_after", False),
                max_retry_after_us=limits.whole("max_retry_after_us", 0),
                connect_timeout_us=limits.whole("dial_timeout_us", 250_000),
                idle_timeout_us=limits.whole("idle_close_us", 15_000_000),
                streams_per_connection=limits.whole("streams_per_connection", 1, low=1),
                max_open_requests=limits.optional_whole("max_open"),
                cpu_us_per_s=limits.optional_whole("cpu_us_per_s"),
                cpu_us_per_request=limits.number("cpu_us_per_request", 0.0),
            ),
            guarantees=Guarantees(
                response_slack_us=rules.whole("answer_slack_us", 0),
                max_poll_interval_us=rules.whole("ask_within_us", 10_000_000, low=1),
                drain_grace_us=rules.whole("drain_grace_us", 0),
                slow_start_initial_capacity=rules.number("cold_from", 0.1, low=0.001, high=1.0),
                slow_start_us=rules.whole("cold_us", 30_000_000),
                overload_multiple=rules.number("fall_multiple", 1.0, low=0.001),
                overload_window_us=rules.whole("fall_us", 2_000_000, low=1),
                full_may_have_executed=rules.flag("full_may_have_run", False),
                close_idle_within_us=rules.optional_whole("close_idle_within_us"),
            ),
            costs=Costs(
                cross_zone=prices.number("cross_zone", 0.0),
                health_check=prices.number("probe", 0.0),
                peer_message=prices.number("message", 0.0),
                wasted_work=prices.number("waste", 0.0),
                handshake=prices.number("handshake", 0.0),
                connection=prices.number("connection", 0.0),
                discovery=prices.number("discovery", 0.0),
                late_failure=prices.number("late_fail", 0.0),
            ),
            objective=Objective(
                total=goal.number("whole", 0.0),
                worst_window=goal.number("worst_window", 0.0),
                worst_class=goal.number("worst_class", 0.0),
                worst_tenant=goal.number("worst_tenant", 0.0),
                tail=goal.number("tail", 0.0),
                tail_slack=goal.number("tail_slack", 0.0, high=1.0),
            ),
            machine_types=top.texts("kinds"),
            clients_mark_retries=habits.flag("mark_retries", False),
            warm_keys=domain.flag("warm_keys", False),
        )


def _service_class(each: MappingReader) -> ServiceClass:
    deadline = each.whole("deadline_us", None, low=1)
    return ServiceClass(
        name=each.text("name"),
        deadline_us=deadline,
        latency_objective_us=min(each.whole("aim_us", deadline, low=1), deadline),
        priority_weight=each.number("worth", 1.0),
        late_priority_weight=each.number("late_worth", 0.0),
        idempotency=each.choice("repeat", Idempotency, Idempotency.NOT_IDEMPOTENT),
        idempotency_scope=each.choice("group", IdempotencyScope, IdempotencyScope.CELL),
        idempotency_window_us=each.whole("memory_us", 0),
        streaming=each.flag("streaming", False),
        latency_objective_stretch=each.number("aim_stretch", 0.0),
    )
