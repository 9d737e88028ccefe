"""Draws a day from a world: one stream of random numbers a subject, so that a new figure shifts no other."""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import numpy as np
from msgspec.structs import replace

from testbed.scenario import day, schema
from testbed.scenario.day import DISCOVERY, Day


def stream(seed: int, subject: str) -> np.random.Generator:
    """The random numbers of one subject on one day."""
    return np.random.default_rng([seed, zlib.crc32(subject.encode())])


class _Figures:
    """Draws figures, each from the stream that its own key names."""

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def number(self, key: str, figure: schema.Figure) -> float:
        if isinstance(figure, list):
            return float(stream(self._seed, key).uniform(figure[0], figure[1]))
        return float(figure)

    def whole(self, key: str, figure: schema.Figure) -> int:
        return round(self.number(key, figure))

    def millis(self, key: str, figure: schema.Figure) -> int:
        return round(self.number(key, figure) * 1e3)

    def seconds(self, key: str, figure: schema.Figure) -> int:
        return round(self.number(key, figure) * 1e6)


def draw(world: schema.World, seed: int) -> Day:
    """One day of a world; the same seed gives the same day on any machine."""
    figures = _Figures(seed)
    servers = _servers(world, figures)
    copies = _copies(world, figures, seed)
    return Day(
        world=world.name,
        seed=seed,
        length_us=round(world.seconds * 1e6),
        classes=_classes(world, figures),
        zones=tuple(day.Zone(name=each.name, region=each.region) for each in world.zones),
        tenants=_tenants(world, figures),
        servers=servers,
        copies=copies,
        sidecars=_sidecars(world.sidecars, figures),
        discovery=_discovery(world.discovery, figures),
        network=_network(world.network, figures),
        clients=_clients(world.clients, figures),
        troubles=_troubles(world, figures, seed, servers, copies),
    )


def _shares(values: Sequence[float]) -> list[float]:
    return [each / sum(values) for each in values]


def _classes(world: schema.World, figures: _Figures) -> tuple[day.ServiceClass, ...]:
    keys = [f"classes.{each.name}" for each in world.classes]
    drawn = [
        figures.number(f"{key}.share", each.share) for key, each in zip(keys, world.classes, strict=True)
    ]
    out = []
    for key, each, share in zip(keys, world.classes, _shares(drawn), strict=True):
        deadline_us = figures.millis(f"{key}.deadline_ms", each.deadline_ms)
        out.append(
            day.ServiceClass(
                name=each.name,
                repeat=each.repeat,
                group=each.group,
                memory_us=figures.millis(f"{key}.memory_ms", each.memory_ms),
                deadline_us=deadline_us,
                aim_us=min(figures.millis(f"{key}.aim_ms", each.aim_ms), deadline_us),
                worth=figures.number(f"{key}.worth", each.worth),
                late_worth=figures.number(f"{key}.late_worth", each.late_worth),
                share=share,
                work_us=figures.number(f"{key}.work_ms", each.work_ms) * 1e3,
            )
        )
    return tuple(out)


def _tenants(world: schema.World, figures: _Figures) -> tuple[day.Tenant, ...]:
    drawn = [figures.number(f"tenants.{each.name}.share", each.share) for each in world.tenants]
    return tuple(
        day.Tenant(name=each.name, share=share)
        for each, share in zip(world.tenants, _shares(drawn), strict=True)
    )


def _servers(world: schema.World, figures: _Figures) -> tuple[day.Server, ...]:
    out: list[day.Server] = []
    for group, each in enumerate(world.servers):
        key = f"servers.{group}"
        cells = figures.whole(f"{key}.cells", each.cells)
        for index in range(figures.whole(f"{key}.count", each.count)):
            number = len(out)
            own = f"{key}.{index}"  # each server is drawn for itself
            out.append(
                day.Server(
                    number=number,
                    zone=each.zone or world.zones[index % len(world.zones)].name,
                    cell=index % cells,
                    slots=figures.whole(f"{own}.slots", each.slots),
                    queue=figures.whole(f"{own}.queue", each.queue),
                    speed=figures.number(f"{own}.speed", each.speed),
                    cold_from=figures.number(f"{key}.cold_from", each.cold_from),
                    cold_us=figures.seconds(f"{key}.cold_s", each.cold_s),
                    crowd_from=figures.whole(f"{own}.crowd_from", each.crowd_from),
                    crowd_loss=figures.number(f"{own}.crowd_loss", each.crowd_loss),
                    connections=figures.whole(f"{own}.connections", each.connections),
                    error_rate=figures.number(f"{own}.error_rate", each.error_rate),
                )
            )
    return tuple(out)


def _copies(world: schema.World, figures: _Figures, seed: int) -> tuple[day.Copy, ...]:
    count = figures.whole("sidecars.count", world.sidecars.count)
    uneven = figures.number("sidecars.uneven", world.sidecars.uneven)
    # The busiest gets `uneven` times the mean, the rest what is left, a little by chance.
    spread = np.linspace(1.0, 1.0 / uneven, count) if count > 1 else np.ones(1)
    weights = stream(seed, "sidecars.order").permutation(spread)
    return tuple(
        day.Copy(number=number, zone=world.zones[number % len(world.zones)].name, share=share)
        for number, share in enumerate(_shares([float(each) for each in weights]))
    )


def _sidecars(given: schema.Sidecars, figures: _Figures) -> day.Sidecars:
    return day.Sidecars(
        attempts=figures.whole("sidecars.attempts", given.attempts),
        datagrams=given.datagrams,
        membership=given.membership,
        console=given.console or given.operated,
        operated=given.operated,
        keeps_folder=given.folder == "kept",
        memory_mb=figures.whole("sidecars.memory_mb", given.memory_mb),
        sockets=figures.whole("sidecars.sockets", given.sockets),
    )


def _discovery(given: schema.Discovery, figures: _Figures) -> day.Discovery:
    return day.Discovery(
        late_us=figures.millis("discovery.late_ms", given.late_ms),
        call_us=figures.millis("discovery.call_ms", given.call_ms),
        wait_us=figures.millis("discovery.wait_ms", given.wait_ms),
        fail_rate=figures.number("discovery.fail_rate", given.fail_rate),
        ask_within_us=figures.millis("discovery.ask_within_ms", given.ask_within_ms),
        pushed=given.pushed,
    )


def _network(given: schema.Network, figures: _Figures) -> day.Network:
    return day.Network(
        delay_us=figures.millis("network.delay_ms", given.delay_ms),
        other_zone_us=figures.millis("network.other_zone_ms", given.other_zone_ms),
        other_region_us=figures.millis("network.other_region_ms", given.other_region_ms),
        datagram_loss=figures.number("network.datagram_loss", given.datagram_loss),
        dial_timeout_us=figures.millis("network.dial_timeout_ms", given.dial_timeout_ms),
    )


def _clients(given: schema.Clients, figures: _Figures) -> day.Clients:
    return day.Clients(
        rate_per_s=figures.number("clients.rate_per_s", given.rate_per_s),
        patience=figures.number("clients.patience", given.patience),
        retries=figures.whole("clients.retries", given.retries),
        backoff_us=figures.millis("clients.backoff_ms", given.backoff_ms),
        connections=figures.whole("clients.connections", given.connections),
        body_bytes=figures.whole("clients.body_bytes", given.body_bytes),
        keys=figures.whole("clients.keys", given.keys),
        exponential=given.work == "exponential",
    )


def _troubles(
    world: schema.World,
    figures: _Figures,
    seed: int,
    servers: Sequence[day.Server],
    copies: Sequence[day.Copy],
) -> tuple[day.Trouble, ...]:
    """Troubles in order of time; one with steps becomes one for each party."""
    out: list[day.Trouble] = []
    for index, each in enumerate(world.troubles):
        key = f"troubles.{index}"
        at_us = figures.seconds(f"{key}.at_s", each.at_s)
        until_us = at_us + figures.seconds(f"{key}.for_s", each.for_s)
        parties = _Parties(seed, key, servers, copies)
        amount = figures.number(f"{key}.amount", each.amount)
        made = day.Trouble(number=0, kind=each.kind, at_us=at_us, until_us=until_us, who=(), amount=amount)
        if isinstance(each, schema.OfLinks):
            who, others = parties.named("between", each.between), parties.named("to", each.to)
            out.append(replace(made, who=who, others=others, both_ways=each.both_ways))
        elif isinstance(each, (schema.OfCopies, schema.OfServers)):
            who = parties.named("who", each.who)
            step_us = figures.seconds(f"{key}.step_s", each.step_s)
            groups = [(one,) for one in who] if step_us else [who]
            for place, group in enumerate(groups):
                later = place * step_us
                moved = replace(made, who=group, at_us=at_us + later, until_us=until_us + later)
                out.append(moved)
        else:
            out.append(replace(made, who=(DISCOVERY,) if isinstance(each, schema.OfDiscovery) else ()))
    out.sort(key=lambda each: each.at_us)
    return tuple(replace(each, number=number) for number, each in enumerate(out))


class _Parties:
    """Who is meant by a world's words, on one day."""

    def __init__(
        self, seed: int, key: str, servers: Sequence[day.Server], copies: Sequence[day.Copy]
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
        everybody: list[day.Server | day.Copy] = []
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
            drawn = stream(self._seed, key).permutation(len(everybody))[:count]
            return [everybody[index].party for index in drawn]
        return [each.party for each in everybody if each.number == int(which)]
