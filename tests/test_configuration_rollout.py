"""Rollout of configuration versions in real replicas, and its settings, log lines and memory use."""

from __future__ import annotations

import asyncio
import importlib.util
import json
import random
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from loopback import HOST, free_udp_addresses, run_async, wait_until
from test_emulator import PROGRAM, ROOT, small_scenario
from test_program import VALID_CONFIGURATION
from test_testbed_models import fault_table, make_run

from sidecar.address import Address
from sidecar.cluster.aggregation import AggregationRound
from sidecar.cluster.message import DropReason, cluster_id
from sidecar.cluster.rollout_actions import (
    AmbiguousVersion,
    RolloutConcluded,
    RolloutReport,
    VersionForgotten,
    VersionMissing,
)
from sidecar.cluster.rollout_message import ExchangeKind, encode
from sidecar.cluster.rollout_status import RolloutStatus
from sidecar.cluster.settings import RolloutSettings
from sidecar.configuration import Configuration, ConfigurationError, parse
from sidecar.configuration_rollout import log_event
from sidecar.sidecar import Sidecar
from testbed import events as log
from testbed.clock import RunClock
from testbed.emulator.datagrams import Relay
from testbed.emulator.replica_process import ReplicaProcess, fetch
from testbed.links import Links

SHORT_ROUNDS = {
    "rollout": {"wave_s": 5, "datagrams_per_s": 5, "spread_s": 0, "digest_of": ["peers", "membership"]}
}


# Several replicas as processes


class Cluster:
    """Replicas as processes, with lossy links between them."""

    def __init__(self, replicas: list[ReplicaProcess]) -> None:
        self.replicas = replicas

    def publish(self, number: int, version: int) -> None:
        """Replace a replica's configuration file atomically by one of this version, without a signal."""
        path = self.replicas[number].folder / "config.json"
        document = json.loads(path.read_text())
        path.with_suffix(".new").write_text(json.dumps({**document, "version": version}))
        path.with_suffix(".new").rename(path)
        self.replicas[number].config["version"] = version

    async def metrics(self, number: int) -> dict[str, Any]:
        """Return the metrics of a replica's rollout; none if it does not answer or rollout is off."""
        address = self.replicas[number]._admin_address
        assert address is not None
        response = await fetch(address, "/api/telemetry")
        return {} if response is None else json.loads(response).get("configuration", {})

    async def until(self, **expected: object) -> None:
        """Wait until these metrics have these values in all replicas."""
        while True:
            all_metrics = [await self.metrics(number) for number in range(len(self.replicas))]
            if all(metrics.get(key) == value for metrics in all_metrics for key, value in expected.items()):
                return
            await asyncio.sleep(0.05)

    def has_logged(self, number: int, line: str) -> bool:
        return line in (self.replicas[number].folder / "stderr.log").read_text()


@asynccontextmanager
async def running_cluster(count: int, folder: Path) -> AsyncIterator[Cluster]:
    """Start replicas between which datagrams are lost, duplicated and reordered, 20% of each."""
    everywhere = {"between": ["copy:*"], "to": ["copy:*"]}
    faults = "".join(
        fault_table(kind, 0.001, 300, amount=0.2, **everywhere) for kind in ("loss", "double", "reorder")
    )
    base = small_scenario().replace("count = 2", f"count = {count}\nconsole = true")
    day = make_run(faults, base)
    clock = RunClock()
    with log.EventLogWriter(folder / "log.jsonl") as writer:
        relay = Relay(clock, Links(day), writer, random.Random(1))
        replicas = [
            ReplicaProcess(
                day,
                replica,
                PROGRAM,
                ROOT,
                folder / f"copy-{replica.number}",
                clock,
                writer,
                random.Random(2),
                30.0,
            )
            for replica in day.replicas
        ]
        await relay.start("127.15.0.1", [replica.peer_listen for replica in replicas])
        for replica in replicas:
            replica.configure(f"{HOST}:9", relay.peers, relay.broadcast_address)
            replica.config |= {**SHORT_ROUNDS, "version": 1}
            replica.get_endpoint_list = lambda: VALID_CONFIGURATION["known"]
        clock.set_origin(0)
        try:
            await asyncio.gather(*(replica.start() for replica in replicas))
            yield Cluster(replicas)
        finally:
            for replica in replicas:
                await replica.close()
            relay.close()


def test_one_signal_updates_all_processes_and_an_older_file_is_reported(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_cluster(4, tmp_path) as cluster:
            await cluster.until(version=1, in_force_everywhere=True)
            for number in range(4):
                cluster.publish(number, 2)
            cluster.replicas[3].hang_up()
            await cluster.until(version=2, in_force_everywhere=True, in_force=4)
            for number in range(4):
                assert cluster.has_logged(number, "configuration_reloaded: discovery is at")
                line = "configuration_in_force_everywhere: version 2 "
                await wait_until(partial(cluster.has_logged, number, line))
            await cluster.replicas[1].kill()
            cluster.publish(1, 1)
            await cluster.replicas[1].start()
            await cluster.until(newest_heard=2, in_force_everywhere=False, behind=[1], ambiguous=False)
            assert (await cluster.metrics(1))["version"] == 1
            cluster.publish(1, 2)  # without a signal
            await cluster.until(version=2, in_force_everywhere=True, behind=[])
            cluster.publish(0, 1)
            cluster.replicas[0].hang_up()
            await wait_until(
                lambda: cluster.has_logged(0, "configuration_rejected: version: 1 is older than 2")
            )
            assert (await cluster.metrics(0))["refused"] == 1
            await cluster.until(version=2)

    run_async(work)


# One replica in the process of the test


def document(local: Address, other: Address, **changes: object) -> dict[str, Any]:
    """Return a configuration file of a cluster of two, with some keys added or replaced."""
    return {
        **VALID_CONFIGURATION,
        "peer_listen": f"{local[0]}:{local[1]}",
        "peers": [f"{host}:{port}" for host, port in (local, other)],
        "settings": {**VALID_CONFIGURATION["settings"], "bounds": {"mayTell": True}},
        **changes,
    }


ROLLOUT_OFF: list[dict[str, Any]] = [
    {},
    {"rollout": {"fanout": 2}},
    {"version": 3, "rollout": {"on": False}},
    {"version": 3, "membership": {"on": False}},
]


@pytest.mark.parametrize("changes", ROLLOUT_OFF, ids=str)
def test_without_rollout_no_version_is_sent_or_rejected(changes: dict[str, Any]) -> None:
    async def work() -> None:
        local, other = free_udp_addresses(2)
        received: list[bytes] = []

        class Receiver(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                received.append(data)

        receiver, _ = await asyncio.get_running_loop().create_datagram_endpoint(Receiver, local_addr=other)
        sidecar = Sidecar(parse(document(local, other, **changes)), print)
        await sidecar.start()
        assert sidecar._cluster.rollout is None and sidecar.version is None
        assert "configuration" not in sidecar.administration.metrics()
        lower = parse(
            document(local, other, **{**changes, "version": 1} if "version" in changes else changes)
        )
        assert sidecar.reconfigure(lower) == []  # applied, even if its version is lower
        if sidecar._cluster.membership is not None:
            await wait_until(lambda: len(received) >= 2)
            exchange = encode(cluster_id("0"), 1, ExchangeKind.PUSH_PULL, AggregationRound(9, 1, 1, 0), 0, 0)
            sidecar._cluster.message_received(1, exchange)
            assert sidecar._cluster.membership.membership is not None
            assert sidecar._cluster.membership.membership.dropped[DropReason.OTHER_FORMAT_VERSION] == 1
        assert all(payload[1] == 1 for payload in received)  # the format version of membership datagrams
        sidecar.close()
        receiver.close()

    run_async(work)


ROLLOUT_MODULES = {
    "sidecar.configuration_rollout",
    "sidecar.cluster.aggregation",
    "sidecar.cluster.configuration_file_checks",
    "sidecar.cluster.member_set",
    *(f"sidecar.cluster.{file.stem}" for file in (ROOT / "sidecar" / "cluster").glob("rollout*.py")),
}


def test_without_version_rollout_modules_are_not_imported() -> None:
    assert len(ROLLOUT_MODULES) >= 11 and all(map(importlib.util.find_spec, ROLLOUT_MODULES))
    local, other = free_udp_addresses(2)
    program = f"""
import asyncio, sys
from sidecar.configuration import parse
from sidecar.sidecar import Sidecar
async def work():
    sidecar = Sidecar(parse({document(local, other)!r}), print)
    await sidecar.start()
    assert "sidecar.cluster.membership" in sys.modules
    assert not {ROLLOUT_MODULES!r} & set(sys.modules)
    sidecar.close()
asyncio.run(work())
"""
    result = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert result.returncode == 0, result.stderr


def test_rollout_is_switched_on_and_off_by_reload() -> None:
    async def work() -> None:
        local, other = free_udp_addresses(2)

        def config(**changes: object) -> Configuration:
            return parse(document(local, other, **changes))

        sidecar = Sidecar(config(), print)
        await sidecar.start()
        sidecar.reconfigure(config(version=5))
        assert sidecar.version == 5
        metrics = sidecar.administration.metrics()["configuration"]
        assert isinstance(metrics, dict)
        assert metrics["in_force_everywhere"] is None and metrics["unheard"] == [1]
        with pytest.raises(ConfigurationError, match="version: 4 is older than 5, which is in force"):
            sidecar.reconfigure(config(version=4))
        assert sidecar.version == 5
        sidecar.reconfigure(config(version=5, rollout={"on": False}))
        assert sidecar.version is None and "configuration" not in sidecar.administration.metrics()
        sidecar.reconfigure(config(version=4))  # allowed, as no version was in force while rollout was off
        assert sidecar.version == 4
        sidecar.reconfigure(config(version=6, membership={"on": False}))
        assert sidecar.version is None
        sidecar.reconfigure(config(version=2))
        assert sidecar.version == 2
        sidecar.reconfigure(config())
        assert sidecar.version is None
        sidecar.close()

    run_async(work)


def test_version_pending_a_restart_is_not_in_force() -> None:
    async def work() -> None:
        local, other = free_udp_addresses(2)
        sidecar = Sidecar(parse(document(local, other, version=5)), print)
        await sidecar.start()
        assert sidecar.reconfigure(
            parse(document(local, other, version=6, limits={**VALID_CONFIGURATION["limits"], "sockets": 999}))
        ) == ["sockets"]
        assert sidecar.version == 5
        metrics = sidecar.administration.metrics()["configuration"]
        assert isinstance(metrics, dict)
        assert (metrics["newest_heard"], metrics["in_force"]) == (6, 0)
        assert sidecar.reconfigure(parse(document(local, other, version=7))) == []
        assert sidecar.version == 7
        sidecar.close()

    run_async(work)


def test_file_pending_a_restart_does_not_switch_rollout_on() -> None:
    async def work() -> None:
        local, other = free_udp_addresses(2)
        sidecar = Sidecar(parse(document(local, other)), print)
        await sidecar.start()
        sidecar.reconfigure(
            parse(document(local, other, version=6, limits={**VALID_CONFIGURATION["limits"], "sockets": 999}))
        )
        assert sidecar.version is None and "configuration" not in sidecar.administration.metrics()
        sidecar.close()

    run_async(work)


def test_rejected_file_leaves_peers_and_discovery_unchanged() -> None:
    async def work() -> None:
        local, other = free_udp_addresses(2)
        sidecar = Sidecar(parse(document(local, other, version=5)), print)
        await sidecar.start()
        changed = document(local, other, version=4, discovery=f"{HOST}:10")
        changed["peers"] = changed["peers"][:1]
        with pytest.raises(ConfigurationError):
            sidecar.reconfigure(parse(changed))
        assert sidecar._cluster.peers.size == 2 and sidecar._discovery._address == (HOST, 9)
        sidecar.close()

    run_async(work)


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"version": -1}, "version"),
        ({"version": 1 << 63}, "version"),
        ({"version": "7"}, "version"),
        ({"version": 7.0}, "version"),
        ({"version": True}, "version"),
        ({"rollout": 5}, "rollout.an object"),
        ({"rollout": {"speed": 1}}, "rollout.speed"),
        ({"rollout": {"on": 1}}, "rollout.on"),
        ({"rollout": {"fanout": 9}}, "rollout.fanout"),
        ({"rollout": {"fanout": 2.5}}, "rollout.fanout"),
        ({"rollout": {"datagrams_per_s": 0}}, "rollout.datagrams_per_s"),
        ({"rollout": {"wave_s": float("nan")}}, "rollout.wave_s"),
        ({"rollout": {"spread_s": 5}}, "rollout.spread_s"),
        ({"rollout": {"digest_of": []}}, "rollout.digest_of"),
        ({"rollout": {"digest_of": ["seed"]}}, "rollout.digest_of"),
    ],
    ids=str,
)
def test_error_about_invalid_setting_begins_with_its_key(changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigurationError) as error:
        parse({**VALID_CONFIGURATION, **changes})
    assert str(error.value).startswith(key)


def test_digest_covers_only_the_keys_shared_by_all_files() -> None:
    local, other = free_udp_addresses(2)
    first = parse(document(local, other, version=1))
    assert (
        parse(document(local, other, version=1, name="n7", seed="77", console=f"{HOST}:5")).digest
        == first.digest
    )
    assert parse(document(local, other, version=1, discovery=f"{HOST}:10")).digest != first.digest
    without_discovery = {"rollout": {"digest_of": ["peers", "membership"]}}
    digest = parse(document(local, other, version=1, **without_discovery)).digest
    changed = document(local, other, version=1, discovery=f"{HOST}:10", **without_discovery)
    assert parse(changed).digest == digest
    assert parse(document(local, other)).digest == 0 and parse(document(local, other)).version is None
    assert first.rollout == RolloutSettings()


STATUS = RolloutStatus(9, True, 5, 5, (), 0, (), 0, 1, 1, 3, 0)


@pytest.mark.parametrize(
    ("report", "line"),
    [
        (
            RolloutConcluded(2_500_000, STATUS),
            "configuration_in_force_everywhere: version 9 after 2.5 s (5 of 5)",
        ),
        (
            RolloutConcluded(
                60_000_000,
                replace(
                    STATUS,
                    is_in_force_everywhere=False,
                    in_force_count=2,
                    behind=(3,),
                    behind_count=2,
                    missing=(4,),
                    missing_count=1,
                ),
            ),
            "configuration_not_everywhere: version 9 after 60.0 s (2 of 5); behind: 3 and 1 more; unheard: 4",
        ),
        (
            AmbiguousVersion(9, 10, 255),
            "configuration_conflict: two contents go by version 9: digests 0000000a and 000000ff",
        ),
        (
            VersionMissing(9, 4, 60_000_000),
            "configuration_missing: version 9, first reported by 4, is not in the file after 60 s",
        ),
        (
            VersionForgotten(9, 4),
            "configuration_withdrawn: version 9, first reported by 4, is in force nowhere any more",
        ),
    ],
    ids=["in force", "late", "ambiguous", "missing", "forgotten"],
)
def test_report_has_the_documented_log_line(report: RolloutReport, line: str) -> None:
    assert str(log_event(report)) == line
