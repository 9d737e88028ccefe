"""The configuration's version in real copies: one signal, all follow; switched off, nothing is loaded."""

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
from loopback import HOST, free_for_datagrams, play, until
from test_emulator import PROGRAM, ROOT, read_small
from test_program import GOOD
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
from testbed.clock import DayClock
from testbed.emulator.copies import Sidecar as Copy
from testbed.emulator.copies import _asked
from testbed.emulator.datagrams import Relay
from testbed.links import Links

QUICK = {"rollout": {"wave_s": 5, "datagrams_per_s": 5, "spread_s": 0, "digest_of": ["peers", "membership"]}}


# Several copies of the program


class Fleet:
    """Real copies, with lossy links between them."""

    def __init__(self, copies: list[Copy]) -> None:
        self.copies = copies

    def publish(self, copy: int, version: int) -> None:
        """Put a file of this version in the place of a copy's, as a whole; nobody is told."""
        path = self.copies[copy].folder / "config.json"
        held = json.loads(path.read_text())
        path.with_suffix(".new").write_text(json.dumps({**held, "version": version}))
        path.with_suffix(".new").rename(path)
        self.copies[copy].config["version"] = version

    async def figures(self, copy: int) -> dict[str, Any]:
        door = self.copies[copy]._door
        assert door is not None
        told = await _asked(door, "/api/telemetry")
        return {} if told is None else json.loads(told).get("configuration", {})

    async def until(self, **wanted: object) -> None:
        """Wait until the figures of all say so."""
        while True:
            found = [await self.figures(number) for number in range(len(self.copies))]
            if all(each.get(key) == value for each in found for key, value in wanted.items()):
                return
            await asyncio.sleep(0.05)

    def said(self, copy: int, line: str) -> bool:
        return line in (self.copies[copy].folder / "stderr.log").read_text()


@asynccontextmanager
async def fleet(count: int, folder: Path) -> AsyncIterator[Fleet]:
    everywhere = {"between": ["copy:*"], "to": ["copy:*"]}
    faults = "".join(
        fault_table(kind, 0.001, 300, amount=0.2, **everywhere) for kind in ("loss", "double", "reorder")
    )
    base = read_small().replace("count = 2", f"count = {count}\nconsole = true")
    day = make_run(faults, base)
    clock = DayClock()
    with log.EventLogWriter(folder / "log.jsonl") as writer:
        relay = Relay(clock, Links(day), writer, random.Random(1))
        copies = [
            Copy(
                day,
                each,
                PROGRAM,
                ROOT,
                folder / f"copy-{each.number}",
                clock,
                writer,
                random.Random(2),
                30.0,
            )
            for each in day.replicas
        ]
        await relay.start("127.15.0.1", [each.peer_listen for each in copies])
        for each in copies:
            each.configure(f"{HOST}:9", relay.peers, relay.everyone)
            each.config |= {**QUICK, "version": 1}
            each.listing = lambda: GOOD["known"]
        clock.begin(0)
        try:
            await asyncio.gather(*(each.start() for each in copies))
            yield Fleet(copies)
        finally:
            for each in copies:
                await each.close()
            relay.close()


def test_one_signal_updates_all_processes_and_an_older_file_is_reported(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(4, tmp_path) as running:
            await running.until(version=1, in_force_everywhere=True)
            for number in range(4):
                running.publish(number, 2)
            running.copies[3].hang_up()
            await running.until(version=2, in_force_everywhere=True, in_force=4)
            for number in range(4):
                assert running.said(number, "configuration_reloaded: discovery is at")
                line = "configuration_in_force_everywhere: version 2 "
                await until(partial(running.said, number, line))
            await running.copies[1].kill()
            running.publish(1, 1)
            await running.copies[1].start()
            await running.until(newest_heard=2, in_force_everywhere=False, behind=[1], ambiguous=False)
            assert (await running.figures(1))["version"] == 1
            running.publish(1, 2)  # and nobody tells it
            await running.until(version=2, in_force_everywhere=True, behind=[])
            running.publish(0, 1)
            running.copies[0].hang_up()
            await until(lambda: running.said(0, "configuration_rejected: version: 1 is older than 2"))
            assert (await running.figures(0))["refused"] == 1
            await running.until(version=2)

    play(work)


# One copy


def given(own: Address, other: Address, **more: object) -> dict[str, Any]:
    return {
        **GOOD,
        "peer_listen": f"{own[0]}:{own[1]}",
        "peers": [f"{each[0]}:{each[1]}" for each in (own, other)],
        "settings": {**GOOD["settings"], "bounds": {"mayTell": True}},
        **more,
    }


OFF: list[dict[str, Any]] = [
    {},
    {"rollout": {"fanout": 2}},
    {"version": 3, "rollout": {"on": False}},
    {"version": 3, "membership": {"on": False}},
]


@pytest.mark.parametrize("more", OFF, ids=str)
def test_without_version_nothing_is_sent_or_rejected(more: dict[str, Any]) -> None:
    async def work() -> None:
        own, other = free_for_datagrams(2)
        heard: list[bytes] = []

        class Ear(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                heard.append(data)

        ear, _ = await asyncio.get_running_loop().create_datagram_endpoint(Ear, local_addr=other)
        sidecar = Sidecar(parse(given(own, other, **more)), print)
        await sidecar.start()
        assert sidecar._cluster.versions is None and sidecar.version is None
        assert "configuration" not in sidecar.administration.metrics()
        lower = parse(given(own, other, **{**more, "version": 1} if "version" in more else more))
        assert sidecar.reconfigure(lower) == []  # taken over as ever
        if sidecar._cluster.members is not None:
            await until(lambda: len(heard) >= 2)
            exchange = encode(cluster_id("0"), 1, ExchangeKind.PUSH_PULL, AggregationRound(9, 1, 1, 0), 0, 0)
            sidecar._cluster.message_received(1, exchange)
            assert sidecar._cluster.members.membership is not None
            assert sidecar._cluster.members.membership.dropped[DropReason.OTHER_FORMAT_VERSION] == 1
        assert all(each[1] == 1 for each in heard)  # membership's, as the version before sends them
        sidecar.close()
        ear.close()

    play(work)


ROLLOUT_MODULES = {
    "sidecar.configuration_rollout",
    "sidecar.cluster.aggregation",
    "sidecar.cluster.configuration_file_checks",
    "sidecar.cluster.member_set",
    *(f"sidecar.cluster.{file.stem}" for file in (ROOT / "sidecar" / "cluster").glob("rollout*.py")),
}


def test_without_version_rollout_modules_are_not_imported() -> None:
    assert len(ROLLOUT_MODULES) >= 11 and all(map(importlib.util.find_spec, ROLLOUT_MODULES))
    own, other = free_for_datagrams(2)
    program = f"""
import asyncio, sys
from sidecar.configuration import parse
from sidecar.sidecar import Sidecar
async def work():
    sidecar = Sidecar(parse({given(own, other)!r}), print)
    await sidecar.start()
    assert "sidecar.cluster.membership" in sys.modules
    assert not {ROLLOUT_MODULES!r} & set(sys.modules)
    sidecar.close()
asyncio.run(work())
"""
    done = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode == 0, done.stderr


def test_rollout_is_switched_on_and_off_by_reload() -> None:
    async def work() -> None:
        own, other = free_for_datagrams(2)

        def config(**more: object) -> Configuration:
            return parse(given(own, other, **more))

        sidecar = Sidecar(config(), print)
        await sidecar.start()
        sidecar.reconfigure(config(version=5))
        assert sidecar.version == 5
        figures = sidecar.administration.metrics()["configuration"]
        assert isinstance(figures, dict)
        assert figures["in_force_everywhere"] is None and figures["unheard"] == [1]
        with pytest.raises(ConfigurationError, match="version: 4 is older than 5, which is in force"):
            sidecar.reconfigure(config(version=4))
        assert sidecar.version == 5
        sidecar.reconfigure(config(version=5, rollout={"on": False}))
        assert sidecar.version is None and "configuration" not in sidecar.administration.metrics()
        sidecar.reconfigure(config(version=4))  # nothing was in force by a version
        assert sidecar.version == 4
        sidecar.reconfigure(config(version=6, membership={"on": False}))
        assert sidecar.version is None
        sidecar.reconfigure(config(version=2))
        assert sidecar.version == 2
        sidecar.reconfigure(config())
        assert sidecar.version is None
        sidecar.close()

    play(work)


def test_version_pending_a_restart_is_not_in_force() -> None:
    async def work() -> None:
        own, other = free_for_datagrams(2)
        sidecar = Sidecar(parse(given(own, other, version=5)), print)
        await sidecar.start()
        assert sidecar.reconfigure(
            parse(given(own, other, version=6, limits={**GOOD["limits"], "sockets": 999}))
        ) == ["sockets"]
        assert sidecar.version == 5
        figures = sidecar.administration.metrics()["configuration"]
        assert isinstance(figures, dict)
        assert (figures["newest_heard"], figures["in_force"]) == (6, 0)
        assert sidecar.reconfigure(parse(given(own, other, version=7))) == []
        assert sidecar.version == 7
        sidecar.close()

    play(work)


def test_file_pending_a_restart_does_not_switch_rollout_on() -> None:
    async def work() -> None:
        own, other = free_for_datagrams(2)
        sidecar = Sidecar(parse(given(own, other)), print)
        await sidecar.start()
        sidecar.reconfigure(parse(given(own, other, version=6, limits={**GOOD["limits"], "sockets": 999})))
        assert sidecar.version is None and "configuration" not in sidecar.administration.metrics()
        sidecar.close()

    play(work)


def test_rejected_file_changes_nothing() -> None:
    async def work() -> None:
        own, other = free_for_datagrams(2)
        sidecar = Sidecar(parse(given(own, other, version=5)), print)
        await sidecar.start()
        moved = given(own, other, version=4, discovery=f"{HOST}:10")
        moved["peers"] = moved["peers"][:1]
        with pytest.raises(ConfigurationError):
            sidecar.reconfigure(parse(moved))
        assert sidecar._cluster.peers.size == 2 and sidecar._discovery._address == (HOST, 9)
        sidecar.close()

    play(work)


@pytest.mark.parametrize(
    ("more", "key"),
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
def test_invalid_setting_names_its_key(more: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigurationError) as complaint:
        parse({**GOOD, **more})
    assert str(complaint.value).startswith(key)


def test_digest_covers_the_keys_shared_by_all_files() -> None:
    own, other = free_for_datagrams(2)
    first = parse(given(own, other, version=1))
    assert (
        parse(given(own, other, version=1, name="n7", seed="77", console=f"{HOST}:5")).digest == first.digest
    )
    assert parse(given(own, other, version=1, discovery=f"{HOST}:10")).digest != first.digest
    left_out = {"rollout": {"digest_of": ["peers", "membership"]}}
    some = parse(given(own, other, version=1, **left_out))
    assert parse(given(own, other, version=1, discovery=f"{HOST}:10", **left_out)).digest == some.digest
    assert parse(given(own, other)).digest == 0 and parse(given(own, other)).version is None
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
def test_report_is_logged_in_these_words(report: RolloutReport, line: str) -> None:
    assert str(log_event(report)) == line
