"""Draws a scenario run from a scenario.

Each key of the scenario has a random stream of its own, so that a change of one quantity does not change what
is drawn for another.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import numpy as np
from msgspec.structs import replace

from testbed.scenario import scenario_run, schema
from testbed.scenario.scenario_run import DISCOVERY, ScenarioRun


def random_stream(seed: int, subject: str) -> np.random.Generator:
    """Create the random number generator of one subject in the runs with a seed."""
    return np.random.default_rng([seed, zlib.crc32(subject.encode())])


class _Quantities:
    """Draws quantities, each from the random stream that its key names."""

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def number(self, key: str, quantity: schema.Quantity) -> float:
        if isinstance(quantity, list):
            return float(random_stream(self._seed, key).uniform(quantity[0], quantity[1]))
        return float(quantity)

    def integer(self, key: str, quantity: schema.Quantity) -> int:
        return round(self.number(key, quantity))

    def us_from_ms(self, key: str, quantity_ms: schema.Quantity) -> int:
        return round(self.number(key, quantity_ms) * 1e3)

    def us_from_s(self, key: str, quantity_s: schema.Quantity) -> int:
        return round(self.number(key, quantity_s) * 1e6)


def draw_run(scenario: schema.Scenario, seed: int) -> ScenarioRun:
    """Draw a run of a scenario; the same seed gives the same run on every machine."""
    quantities = _Quantities(seed)
    servers = _servers(scenario, quantities)
    replicas = _replicas(scenario, quantities, seed)
    return ScenarioRun(
        scenario=scenario.name,
        seed=seed,
        duration_us=round(scenario.duration_s * 1e6),
        classes=_classes(scenario, quantities),
        zones=tuple(scenario_run.Zone(name=zone.name, region=zone.region) for zone in scenario.zones),
        tenants=_tenants(scenario, quantities),
        servers=servers,
        replicas=replicas,
        sidecars=_sidecars(scenario.sidecars, quantities),
        discovery=_discovery(scenario.discovery, quantities),
        network=_network(scenario.network, quantities),
        clients=_clients(scenario.clients, quantities),
        faults=_faults(scenario, quantities, seed, servers, replicas),
    )


def _shares(weights: Sequence[float]) -> list[float]:
    """Scale weights so that they sum to 1."""
    return [weight / sum(weights) for weight in weights]


def _classes(scenario: schema.Scenario, quantities: _Quantities) -> tuple[scenario_run.ServiceClass, ...]:
    keys = [f"classes.{service_class.name}" for service_class in scenario.classes]
    weights = [
        quantities.number(f"{key}.share", service_class.share)
        for key, service_class in zip(keys, scenario.classes, strict=True)
    ]
    classes = []
    for key, service_class, share in zip(keys, scenario.classes, _shares(weights), strict=True):
        deadline_us = quantities.us_from_ms(f"{key}.deadline_ms", service_class.deadline_ms)
        objective_us = quantities.us_from_ms(f"{key}.aim_ms", service_class.latency_objective_ms)
        classes.append(
            scenario_run.ServiceClass(
                name=service_class.name,
                idempotency=service_class.idempotency,
                idempotency_scope=service_class.idempotency_scope,
                idempotency_window_us=quantities.us_from_ms(
                    f"{key}.memory_ms", service_class.idempotency_window_ms
                ),
                deadline_us=deadline_us,
                latency_objective_us=min(objective_us, deadline_us),
                priority_weight=quantities.number(f"{key}.worth", service_class.priority_weight),
                late_priority_weight=quantities.number(
                    f"{key}.late_worth", service_class.late_priority_weight
                ),
                share=share,
                mean_work_us=quantities.number(f"{key}.work_ms", service_class.mean_work_ms) * 1e3,
            )
        )
    return tuple(classes)


def _tenants(scenario: schema.Scenario, quantities: _Quantities) -> tuple[scenario_run.Tenant, ...]:
    weights = [quantities.number(f"tenants.{tenant.name}.share", tenant.share) for tenant in scenario.tenants]
    return tuple(
        scenario_run.Tenant(name=tenant.name, share=share)
        for tenant, share in zip(scenario.tenants, _shares(weights), strict=True)
    )


def _servers(scenario: schema.Scenario, quantities: _Quantities) -> tuple[scenario_run.Server, ...]:
    servers: list[scenario_run.Server] = []
    for group_index, group in enumerate(scenario.servers):
        group_key = f"servers.{group_index}"
        cells = quantities.integer(f"{group_key}.cells", group.cells)
        for index in range(quantities.integer(f"{group_key}.count", group.count)):
            # Slow start is drawn once for the group, everything else for each server.
            key = f"{group_key}.{index}"
            servers.append(
                scenario_run.Server(
                    number=len(servers),
                    zone=group.zone or scenario.zones[index % len(scenario.zones)].name,
                    cell=index % cells,
                    slots=quantities.integer(f"{key}.slots", group.slots),
                    queue_limit=quantities.integer(f"{key}.queue", group.queue_limit),
                    speed=quantities.number(f"{key}.speed", group.speed),
                    slow_start_initial_capacity=quantities.number(
                        f"{group_key}.cold_from", group.slow_start_initial_capacity
                    ),
                    slow_start_us=quantities.us_from_s(f"{group_key}.cold_s", group.slow_start_s),
                    overload_threshold=quantities.integer(f"{key}.crowd_from", group.overload_threshold),
                    overload_slowdown=quantities.number(f"{key}.crowd_loss", group.overload_slowdown),
                    max_connections=quantities.integer(f"{key}.connections", group.max_connections),
                    error_rate=quantities.number(f"{key}.error_rate", group.error_rate),
                )
            )
    return tuple(servers)


def _replicas(
    scenario: schema.Scenario, quantities: _Quantities, seed: int
) -> tuple[scenario_run.Replica, ...]:
    count = quantities.integer("sidecars.count", scenario.sidecars.count)
    max_to_min = quantities.number("sidecars.uneven", scenario.sidecars.max_to_min_load)
    # Weights fall evenly from the busiest replica to the least busy one; the order is random.
    weights = np.linspace(1.0, 1.0 / max_to_min, count) if count > 1 else np.ones(1)
    weights = random_stream(seed, "sidecars.order").permutation(weights)
    return tuple(
        scenario_run.Replica(
            number=number, zone=scenario.zones[number % len(scenario.zones)].name, share=share
        )
        for number, share in enumerate(_shares([float(weight) for weight in weights]))
    )


def _sidecars(sidecars: schema.Sidecars, quantities: _Quantities) -> scenario_run.SidecarSettings:
    return scenario_run.SidecarSettings(
        max_attempts=quantities.integer("sidecars.attempts", sidecars.max_attempts),
        may_message_peers=sidecars.may_message_peers,
        membership=sidecars.membership,
        has_admin_interface=sidecars.has_admin_interface or sidecars.has_inherited_listener,
        has_inherited_listener=sidecars.has_inherited_listener,
        keeps_temp_folder=sidecars.temp_folder == "kept",
        memory_limit_mb=quantities.integer("sidecars.memory_mb", sidecars.memory_limit_mb),
        socket_limit=quantities.integer("sidecars.sockets", sidecars.socket_limit),
    )


def _discovery(discovery: schema.Discovery, quantities: _Quantities) -> scenario_run.Discovery:
    return scenario_run.Discovery(
        notification_delay_us=quantities.us_from_ms("discovery.late_ms", discovery.notification_delay_ms),
        service_time_us=quantities.us_from_ms("discovery.call_ms", discovery.service_time_ms),
        max_queueing_us=quantities.us_from_ms("discovery.wait_ms", discovery.max_queueing_ms),
        failure_rate=quantities.number("discovery.fail_rate", discovery.failure_rate),
        max_poll_interval_us=quantities.us_from_ms("discovery.ask_within_ms", discovery.max_poll_interval_ms),
        is_pushed=discovery.is_pushed,
    )


def _network(network: schema.Network, quantities: _Quantities) -> scenario_run.Network:
    return scenario_run.Network(
        delay_us=quantities.us_from_ms("network.delay_ms", network.delay_ms),
        cross_zone_delay_us=quantities.us_from_ms("network.other_zone_ms", network.cross_zone_delay_ms),
        cross_region_delay_us=quantities.us_from_ms("network.other_region_ms", network.cross_region_delay_ms),
        datagram_loss=quantities.number("network.datagram_loss", network.datagram_loss),
        connect_timeout_us=quantities.us_from_ms("network.dial_timeout_ms", network.connect_timeout_ms),
    )


def _clients(clients: schema.Clients, quantities: _Quantities) -> scenario_run.Clients:
    return scenario_run.Clients(
        rate_per_s=quantities.number("clients.rate_per_s", clients.rate_per_s),
        timeout_fraction=quantities.number("clients.patience", clients.timeout_fraction),
        max_retries=quantities.integer("clients.retries", clients.max_retries),
        backoff_us=quantities.us_from_ms("clients.backoff_ms", clients.backoff_ms),
        max_connections=quantities.integer("clients.connections", clients.max_connections),
        body_bytes=quantities.integer("clients.body_bytes", clients.body_bytes),
        key_count=quantities.integer("clients.keys", clients.key_count),
        has_exponential_work=clients.work_distribution == "exponential",
    )


def _faults(
    scenario: schema.Scenario,
    quantities: _Quantities,
    seed: int,
    servers: Sequence[scenario_run.Server],
    replicas: Sequence[scenario_run.Replica],
) -> tuple[scenario_run.Fault, ...]:
    """Draw the faults in order of their start; a staggered fault becomes one fault for each party."""
    faults: list[scenario_run.Fault] = []
    for index, entry in enumerate(scenario.faults):
        key = f"troubles.{index}"
        start_us = quantities.us_from_s(f"{key}.at_s", entry.start_s)
        end_us = start_us + quantities.us_from_s(f"{key}.for_s", entry.duration_s)
        selection = _PartySelection(seed, key, servers, replicas)
        amount = quantities.number(f"{key}.amount", entry.amount)
        fault = scenario_run.Fault(
            number=0, kind=entry.kind, start_us=start_us, end_us=end_us, parties=(), amount=amount
        )
        if isinstance(entry, schema.LinkFault):
            parties = selection.select("between", entry.parties)
            others = selection.select("to", entry.other_parties)
            faults.append(replace(fault, parties=parties, other_parties=others, both_ways=entry.both_ways))
        elif isinstance(entry, (schema.ReplicaFault, schema.ServerFault)):
            parties = selection.select("who", entry.parties)
            stagger_us = quantities.us_from_s(f"{key}.step_s", entry.stagger_s)
            groups = [(party,) for party in parties] if stagger_us else [parties]
            for place, group in enumerate(groups):
                delay_us = place * stagger_us
                faults.append(
                    replace(fault, parties=group, start_us=start_us + delay_us, end_us=end_us + delay_us)
                )
        else:
            parties = (DISCOVERY,) if isinstance(entry, schema.DiscoveryFault) else ()
            faults.append(replace(fault, parties=parties))
    faults.sort(key=lambda fault: fault.start_us)
    return tuple(replace(fault, number=number) for number, fault in enumerate(faults))


class _PartySelection:
    """Selects the parties of one fault from the patterns in the scenario file."""

    def __init__(
        self,
        seed: int,
        key: str,
        servers: Sequence[scenario_run.Server],
        replicas: Sequence[scenario_run.Replica],
    ) -> None:
        self._seed, self._key = seed, key
        self._servers, self._replicas = servers, replicas

    def select(self, name: str, patterns: Sequence[str]) -> tuple[str, ...]:
        """Return the parties that match the patterns of a key, in order and without duplicates."""
        parties: dict[str, None] = {}
        for index, pattern in enumerate(patterns):
            parties.update(dict.fromkeys(self._match(f"{self._key}.{name}.{index}", pattern)))
        return tuple(parties)

    def _match(self, key: str, pattern: str) -> list[str]:
        kind, _, which = pattern.partition(":")
        if kind == DISCOVERY:
            return [DISCOVERY]
        candidates: list[scenario_run.Server | scenario_run.Replica] = []
        if kind in ("server", "zone"):
            candidates += self._servers
        if kind in ("copy", "zone"):
            candidates += self._replicas
        if kind == "zone":
            return [candidate.party for candidate in candidates if candidate.zone == which]
        if which == "*":
            return [candidate.party for candidate in candidates]
        if which.endswith("%"):
            count = max(round(len(candidates) * float(which[:-1]) / 100), 1)
            drawn = random_stream(self._seed, key).permutation(len(candidates))[:count]
            return [candidates[index].party for index in drawn]
        return [candidate.party for candidate in candidates if candidate.number == int(which)]
