"""Draws a day from a world: one stream of random numbers a subject, so that a new figure shifts no other."""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import numpy as np
from msgspec.structs import replace

from testbed.scenario import scenario_run, schema
from testbed.scenario.scenario_run import DISCOVERY, ScenarioRun


def random_stream(seed: int, subject: str) -> np.random.Generator:
    """The random numbers of one subject on one day."""
    return np.random.default_rng([seed, zlib.crc32(subject.encode())])


class _Figures:
    """Draws figures, each from the stream that its own key names."""

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def number(self, key: str, figure: schema.Quantity) -> float:
        if isinstance(figure, list):
            return float(random_stream(self._seed, key).uniform(figure[0], figure[1]))
        return float(figure)

    def whole(self, key: str, figure: schema.Quantity) -> int:
        return round(self.number(key, figure))

    def millis(self, key: str, figure: schema.Quantity) -> int:
        return round(self.number(key, figure) * 1e3)

    def seconds(self, key: str, figure: schema.Quantity) -> int:
        return round(self.number(key, figure) * 1e6)


def draw_run(world: schema.Scenario, seed: int) -> ScenarioRun:
    """One day of a world; the same seed gives the same day on any machine."""
    figures = _Figures(seed)
    servers = _servers(world, figures)
    copies = _copies(world, figures, seed)
    return ScenarioRun(
        scenario=world.name,
        seed=seed,
        duration_us=round(world.duration_s * 1e6),
        classes=_classes(world, figures),
        zones=tuple(scenario_run.Zone(name=each.name, region=each.region) for each in world.zones),
        tenants=_tenants(world, figures),
        servers=servers,
        replicas=copies,
        sidecars=_sidecars(world.sidecars, figures),
        discovery=_discovery(world.discovery, figures),
        network=_network(world.network, figures),
        clients=_clients(world.clients, figures),
        faults=_troubles(world, figures, seed, servers, copies),
    )


def _shares(values: Sequence[float]) -> list[float]:
    return [each / sum(values) for each in values]


def _classes(world: schema.Scenario, figures: _Figures) -> tuple[scenario_run.ServiceClass, ...]:
    keys = [f"classes.{each.name}" for each in world.classes]
    drawn = [
        figures.number(f"{key}.share", each.share) for key, each in zip(keys, world.classes, strict=True)
    ]
    out = []
    for key, each, share in zip(keys, world.classes, _shares(drawn), strict=True):
        deadline_us = figures.millis(f"{key}.deadline_ms", each.deadline_ms)
        out.append(
            scenario_run.ServiceClass(
                name=each.name,
                idempotency=each.idempotency,
                idempotency_scope=each.idempotency_scope,
                idempotency_window_us=figures.millis(f"{key}.memory_ms", each.idempotency_window_ms),
                deadline_us=deadline_us,
                latency_objective_us=min(
                    figures.millis(f"{key}.aim_ms", each.latency_objective_ms), deadline_us
                ),
                priority_weight=figures.number(f"{key}.worth", each.priority_weight),
                late_priority_weight=figures.number(f"{key}.late_worth", each.late_priority_weight),
                share=share,
                mean_work_us=figures.number(f"{key}.work_ms", each.mean_work_ms) * 1e3,
            )
        )
    return tuple(out)


def _tenants(world: schema.Scenario, figures: _Figures) -> tuple[scenario_run.Tenant, ...]:
    drawn = [figures.number(f"tenants.{each.name}.share", each.share) for each in world.tenants]
    return tuple(
        scenario_run.Tenant(name=each.name, share=share)
        for each, share in zip(world.tenants, _shares(drawn), strict=True)
    )


def _servers(world: schema.Scenario, figures: _Figures) -> tuple[scenario_run.Server, ...]:
    out: list[scenario_run.Server] = []
    for group, each in enumerate(world.servers):
        key = f"servers.{group}"
        cells = figures.whole(f"{key}.cells", each.cells)
        for index in range(figures.whole(f"{key}.count", each.count)):
            number = len(out)
            own = f"{key}.{index}"  # each server is drawn for itself
            out.append(
                scenario_run.Server(
                    number=number,
                    zone=each.zone or world.zones[index % len(world.zones)].name,
                    cell=index % cells,
                    slots=figures.whole(f"{own}.slots", each.slots),
                    queue_limit=figures.whole(f"{own}.queue", each.queue_limit),
                    speed=figures.number(f"{own}.speed", each.speed),
                    slow_start_initial_capacity=figures.number(
                        f"{key}.cold_from", each.slow_start_initial_capacity
                    ),
                    slow_start_us=figures.seconds(f"{key}.cold_s", each.slow_start_s),
                    overload_threshold=figures.whole(f"{own}.crowd_from", each.overload_threshold),
                    overload_slowdown=figures.number(f"{own}.crowd_loss", each.overload_slowdown),
                    max_connections=figures.whole(f"{own}.connections", each.max_connections),
                    error_rate=figures.number(f"{own}.error_rate", each.error_rate),
                )
            )
    return tuple(out)


def _copies(world: schema.Scenario, figures: _Figures, seed: int) -> tuple[scenario_run.Replica, ...]:
    count = figures.whole("sidecars.count", world.sidecars.count)
    uneven = figures.number("sidecars.uneven", world.sidecars.peak_to_mean_load)
    # The busiest gets `uneven` times the mean, the rest what is left, a little by chance.
    spread = np.linspace(1.0, 1.0 / uneven, count) if count > 1 else np.ones(1)
    weights = random_stream(seed, "sidecars.order").permutation(spread)
    return tuple(
        scenario_run.Replica(number=number, zone=world.zones[number % len(world.zones)].name, share=share)
        for number, share in enumerate(_shares([float(each) for each in weights]))
    )


def _sidecars(given: schema.Sidecars, figures: _Figures) -> scenario_run.SidecarSettings:
    return scenario_run.SidecarSettings(
        max_attempts=figures.whole("sidecars.attempts", given.max_attempts),
        may_message_peers=given.may_message_peers,
        membership=given.membership,
        has_admin_interface=given.has_admin_interface or given.has_inherited_listener,
        has_inherited_listener=given.has_inherited_listener,
        keeps_temp_folder=given.temp_folder == "kept",
        memory_limit_mb=figures.whole("sidecars.memory_mb", given.memory_limit_mb),
        socket_limit=figures.whole("sidecars.sockets", given.socket_limit),
    )


def _discovery(given: schema.Discovery, figures: _Figures) -> scenario_run.Discovery:
    return scenario_run.Discovery(
        notification_delay_us=figures.millis("discovery.late_ms", given.notification_delay_ms),
        service_time_us=figures.millis("discovery.call_ms", given.service_time_ms),
        max_queueing_us=figures.millis("discovery.wait_ms", given.max_queueing_ms),
        failure_rate=figures.number("discovery.fail_rate", given.failure_rate),
        max_poll_interval_us=figures.millis("discovery.ask_within_ms", given.max_poll_interval_ms),
        is_pushed=given.is_pushed,
    )


def _network(given: schema.Network, figures: _Figures) -> scenario_run.Network:
    return scenario_run.Network(
        delay_us=figures.millis("network.delay_ms", given.delay_ms),
        cross_zone_delay_us=figures.millis("network.other_zone_ms", given.cross_zone_delay_ms),
        cross_region_delay_us=figures.millis("network.other_region_ms", given.cross_region_delay_ms),
        datagram_loss=figures.number("network.datagram_loss", given.datagram_loss),
        connect_timeout_us=figures.millis("network.dial_timeout_ms", given.connect_timeout_ms),
    )


def _clients(given: schema.Clients, figures: _Figures) -> scenario_run.Clients:
    return scenario_run.Clients(
        rate_per_s=figures.number("clients.rate_per_s", given.rate_per_s),
        timeout_fraction=figures.number("clients.patience", given.timeout_fraction),
        max_retries=figures.whole("clients.retries", given.max_retries),
        backoff_us=figures.millis("clients.backoff_ms", given.backoff_ms),
        max_connections=figures.whole("clients.connections", given.max_connections),
        body_bytes=figures.whole("clients.body_bytes", given.body_bytes),
        key_count=figures.whole("clients.keys", given.key_count),
        has_exponential_work=given.work_distribution == "exponential",
    )


def _troubles(
    world: schema.Scenario,
    figures: _Figures,
    seed: int,
    servers: Sequence[scenario_run.Server],
    copies: Sequence[scenario_run.Replica],
) -> tuple[scenario_run.Fault, ...]:
    """Troubles in order of time; one with steps becomes one for each party."""
    out: list[scenario_run.Fault] = []
    for index, each in enumerate(world.faults):
        key = f"troubles.{index}"
        at_us = figures.seconds(f"{key}.at_s", each.start_s)
        until_us = at_us + figures.seconds(f"{key}.for_s", each.duration_s)
        parties = _Parties(seed, key, servers, copies)
        amount = figures.number(f"{key}.amount", each.amount)
        made = scenario_run.Fault(
            number=0, kind=each.kind, start_us=at_us, end_us=until_us, parties=(), amount=amount
        )
        if isinstance(each, schema.LinkFault):
            who, others = parties.named("between", each.parties), parties.named("to", each.other_parties)
            out.append(replace(made, parties=who, other_parties=others, both_ways=each.both_ways))
        elif isinstance(each, (schema.ReplicaFault, schema.ServerFault)):
            who = parties.named("who", each.parties)
            step_us = figures.seconds(f"{key}.step_s", each.stagger_s)
            groups = [(one,) for one in who] if step_us else [who]
            for place, group in enumerate(groups):
                later = place * step_us
                moved = replace(made, parties=group, start_us=at_us + later, end_us=until_us + later)
                out.append(moved)
        else:
            out.append(replace(made, parties=(DISCOVERY,) if isinstance(each, schema.DiscoveryFault) else ()))
    out.sort(key=lambda each: each.start_us)
    return tuple(replace(each, number=number) for number, each in enumerate(out))


class _Parties:
    """Who is meant by a world's words, on one day."""

    def __init__(
        self,
        seed: int,
        key: str,
        servers: Sequence[scenario_run.Server],
        copies: Sequence[scenario_run.Replica],
    ) -> None:
        self._seed, self._key = seed, key
        self._servers, self._copies = servers, copies

    def named(self, what: str, words: Sequence[str]) -> tuple[str, ...]:
        """The parties in order, each once."""
        out: dict[str, None] = {}
        for index, word in enumerate(words):
            out.update(dict.fromkeys(self._one(f"{self._key}.{what}.{index}", word)))
        return tuple(out)

    def _one(self, key: str, word: str) -> list[str]:
        kind, _, which = word.partition(":")
        if kind == DISCOVERY:
            return [DISCOVERY]
        everybody: list[scenario_run.Server | scenario_run.Replica] = []
        if kind in ("server", "zone"):
            everybody += self._servers
        if kind in ("copy", "zone"):
            everybody += self._copies
        if kind == "zone":
            return [each.party for each in everybody if each.zone == which]
        if which == "*":
            return [each.party for each in everybody]
        if which.endswith("%"):
            count = max(round(len(everybody) * float(which[:-1]) / 100), 1)
            drawn = random_stream(self._seed, key).permutation(len(everybody))[:count]
            return [everybody[index].party for index in drawn]
        return [each.party for each in everybody if each.number == int(which)]
