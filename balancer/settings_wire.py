"""Reads settings in the platform's format, from the simulator and from `settings` in a configuration file.

This module alone maps the names of the format to the fields of `balancer.settings`.  Unknown keys are
ignored; absent keys get the conservative defaults of the fields.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from balancer.mapping_reader import MappingReader
from balancer.settings import (
    CapacityHint,
    Costs,
    DiscoveryMode,
    Guarantees,
    Idempotency,
    IdempotencyScope,
    Limits,
    LoadReportSource,
    Objective,
    PriorityWeightUnit,
    ServiceClass,
    Settings,
    Tenant,
)

# The first name of each member is the current one; the other names are accepted as aliases.
_IDEMPOTENCY_NAMES = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.WITH_KEY,
    "non_idempotent": Idempotency.NOT_IDEMPOTENT,
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.WITH_KEY,
    "unsafe": Idempotency.NOT_IDEMPOTENT,
}
_LOAD_REPORT_NAMES = {
    "piggyback": LoadReportSource.RESPONSES,
    "pull": LoadReportSource.HEALTH_CHECKS,
    "silent": LoadReportSource.NONE,
    "answers": LoadReportSource.RESPONSES,
    "probes": LoadReportSource.HEALTH_CHECKS,
}
_MIN_FRACTION = 0.001


def settings_from_wire(wire: object) -> Settings:
    """Read a settings object.

    Raises ValueError for an invalid value; the message begins with the path of its key.
    """
    if not isinstance(wire, Mapping):
        raise ValueError(f"settings: must be an object, not {type(wire).__name__}")  # noqa: TRY004 - callers catch ValueError for any invalid input
    top = MappingReader(wire)
    classes = tuple(_service_class(section) for section in top.sections("lanes"))
    if not classes:
        raise ValueError("lanes: must contain at least one service class")
    _check_unique("lanes", [service_class.name for service_class in classes])
    tenants = tuple(_tenant(section) for section in top.sections("realms"))
    _check_unique("realms", [tenant.name for tenant in tenants])
    report = top.section("report")
    return Settings(
        classes=classes,
        tenants=tenants,
        zone=top.string("zone", ""),
        instance_index=top.integer("me", 0),
        cluster_size=top.integer("groupSize", 1, low=1),
        clock_resolution_us=top.integer("quantumUs", 1_000, low=1),
        discovery=top.choice("discovery", DiscoveryMode, DiscoveryMode.ON_REQUEST),
        capacity_hint=top.choice("weights", CapacityHint, CapacityHint.NONE),
        priority_weight_unit=top.choice("worthBy", PriorityWeightUnit, PriorityWeightUnit.REQUEST),
        over_quota_weight=top.number("overShareWorth", 1.0, high=1.0),
        load_report_source=report.named_choice("source", _LOAD_REPORT_NAMES, LoadReportSource.NONE),
        load_report_columns=report.strings("columns"),
        limits=_limits(top.section("bounds")),
        guarantees=_guarantees(top.section("guarantees")),
        costs=_costs(top.section("prices")),
        objective=_objective(top.section("goal")),
        machine_types=top.strings("kinds"),
        clients_mark_retries=top.section("clientHabits").boolean("marksRetry", default=False),
        warm_keys=top.section("domain").boolean("warmKeys", default=False),
    )


def _check_unique(key: str, names: Sequence[str]) -> None:
    if len(set(names)) != len(names):
        duplicate = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"{key}: duplicate name {duplicate!r:.60}")


def _service_class(lane: MappingReader) -> ServiceClass:
    deadline_us = lane.integer("giveUpUs", None, low=1)
    return ServiceClass(
        name=lane.string("name"),
        deadline_us=deadline_us,
        latency_objective_us=min(lane.integer("promiseUs", deadline_us, low=1), deadline_us),
        priority_weight=lane.number("worth", 1.0),
        late_priority_weight=lane.number("lateValue", 0.0),
        idempotency=lane.named_choice("repeat", _IDEMPOTENCY_NAMES, Idempotency.NOT_IDEMPOTENT),
        idempotency_scope=lane.choice("group", IdempotencyScope, IdempotencyScope.CELL),
        idempotency_window_us=lane.integer("memorySpanUs", 0),
        streaming=lane.boolean("streaming", default=False),
        latency_objective_stretch=lane.number("aimStretch", 0.0),
    )


def _tenant(realm: MappingReader) -> Tenant:
    return Tenant(
        name=realm.string("name"),
        quota_share=realm.number("portion", 1.0),
        quota_per_s=realm.number("quotaRps", 0.0),
    )


def _limits(bounds: MappingReader) -> Limits:
    return Limits(
        max_attempts=bounds.integer("sendCap", 1),
        hedged_requests=bounds.boolean("secondCopies", default=False),
        may_cancel_attempts=bounds.boolean("mayCancel", default=False),
        may_health_check=bounds.boolean("probing", default=False),
        may_message_peers=bounds.boolean("mayTell", default=False),
        retry_after=bounds.boolean("retryAfter", default=False),
        max_retry_after_us=bounds.integer("maxRetryAfterUs", 0),
        connect_timeout_us=bounds.integer("dialTimeoutUs", 250_000),
        idle_timeout_us=bounds.integer("idleCloseUs", 15_000_000),
        streams_per_connection=bounds.integer("streamsPerConn", 1, low=1),
        max_open_requests=bounds.optional_integer("maxOpen"),
        cpu_us_per_s=bounds.optional_integer("cpuUsPerS"),
        cpu_us_per_request=bounds.number("cpuUsPerRequest", 0.0),
    )


def _guarantees(guarantees: MappingReader) -> Guarantees:
    return Guarantees(
        response_slack_us=guarantees.integer("answerSlackUs", 0),
        max_poll_interval_us=guarantees.integer("askWithinUs", 10_000_000, low=1),
        drain_grace_us=guarantees.integer("drainGraceUs", 0),
        slow_start_initial_capacity=guarantees.number("coldFrom", 0.1, low=_MIN_FRACTION, high=1.0),
        slow_start_us=guarantees.integer("coldUs", 30_000_000),
        overload_multiple=guarantees.number("fallMultiple", 1.0, low=_MIN_FRACTION),
        overload_window_us=guarantees.integer("fallUs", 2_000_000, low=1),
        full_may_have_executed=guarantees.boolean("lateShedding", default=False),
        close_idle_within_us=guarantees.optional_integer("letGoInUs"),
    )


def _costs(prices: MappingReader) -> Costs:
    return Costs(
        cross_zone=prices.number("crossZone", 0.0),
        health_check=prices.number("probe", 0.0),
        peer_message=prices.number("peer", 0.0),
        wasted_work=prices.number("waste", 0.0),
        handshake=prices.number("handshake", 0.0),
        connection=prices.number("connection", 0.0),
        discovery=prices.number("discovery", 0.0),
        late_failure=prices.number("lateFail", 0.0),
    )


def _objective(goal: MappingReader) -> Objective:
    return Objective(
        total=goal.number("whole", 0.0),
        worst_window=goal.number("worstWindow", 0.0),
        worst_class=goal.number("worstClass", 0.0),
        worst_tenant=goal.number("worstTenant", 0.0),
        tail=goal.number("tail", 0.0),
        tail_slack=goal.number("tailSlack", 0.0, high=1.0),
    )
