"""Each format at the edge, as the recorded version wrote it: the present code reads it, and writes the same.

The samples below `tests/data/samples/` are never written anew for a change of names; a format that changes on
purpose gets a further sample beside the old one.
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import re
import shutil
import sqlite3
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import Mock

import msgspec
import pytest

from sidecar import cluster_membership
from sidecar.admin_interface import AdminInterface
from sidecar.clock import Clock
from sidecar.cluster import message, rollout_message
from sidecar.cluster.limits import MAX_DATAGRAM_BYTES
from sidecar.cluster.settings import MembershipSettings, RolloutSettings
from sidecar.cluster_membership import ClusterMembership
from sidecar.configuration import Configuration
from sidecar.configuration_rollout import ConfigurationRollout
from sidecar.log_events import LogEvent
from sidecar.metrics import Metrics
from sidecar.peers import Peers
from sidecar.persisted_exclusions import PersistedExclusions
from sidecar.process_lock import ProcessLock
from testbed import events
from testbed.capacity import samples
from testbed.experiment.store import Key, Store

ROOT = Path(__file__).parent.parent
RECORDED = Path(__file__).parent / "data" / "samples"
CLUSTER = message.cluster_id("cluster")
NOW_US = 7_000_000_000


# Datagrams


def _conversed() -> Iterator[tuple[int, bytes]]:
    """Every datagram of the recorded conversation with its sender."""
    for path in sorted(RECORDED.glob("conversation-*.json")):
        record = json.loads(path.read_text(encoding="utf-8"))
        for _, event, outputs in record["events"]:
            if event[0] == "heard" and len(event[2]) > 10:
                yield event[1], bytes.fromhex(event[2])
            yield from ((record["me"], bytes.fromhex(out[2])) for out in outputs if out[0] == "send")


def _corpus(path: Path) -> Iterator[bytes]:
    """The datagrams of one input of the fuzzer, each behind a byte for its sender and one for its length."""
    data = path.read_bytes()
    while data:
        yield data[2 : 2 + data[1]]
        data = data[2 + data[1] :]


def _again(sender: int, data: bytes, tier: int = CLUSTER) -> bytes:
    """Read a datagram of either kind, and write what was read."""
    if not rollout_message.is_rollout_message(data):
        return message.encode(message.decode(data, tier, sender))
    given = rollout_message.decode(data, tier, sender)
    return rollout_message.encode(
        tier, sender, given.kind, given.aggregation_round(NOW_US), given.chunk, NOW_US
    )


def test_conversed_datagrams_are_read_and_written_the_same() -> None:
    datagrams = set(_conversed())
    assert len(datagrams) > 500
    assert [data for sender, data in datagrams if _again(sender, data) != data] == []
    assert max(len(data) for _, data in datagrams) <= MAX_DATAGRAM_BYTES == 256


def test_conversed_datagrams_are_of_every_kind() -> None:
    fields = [
        (rollout_message.is_rollout_message(data), msgspec.msgpack.decode(data))
        for _, data in set(_conversed())
    ]
    assert {given[4] for is_exchange, given in fields if not is_exchange} == {0, 1, 2, 3, 4}
    assert {given[3] for is_exchange, given in fields if is_exchange} == {0, 1}
    assert any(given[9] and given[10] for is_exchange, given in fields if not is_exchange)


CORPORA = sorted((ROOT / "fuzz").glob("corpus-*/*"))  # the codec's own, `corpus`, holds no datagrams
RUNS = sorted(samples.FOLDER.glob("*.json"))


def test_corpora_and_capacity_runs_are_found() -> None:
    assert len(CORPORA) >= 12 and len(RUNS) >= 30


@pytest.mark.parametrize("path", CORPORA, ids=lambda path: f"{path.parent.name}-{path.name}")
def test_a_datagram_of_the_fuzz_corpus_is_read_and_written_the_same(path: Path) -> None:
    for data in _corpus(path):
        given = msgspec.msgpack.decode(data)
        assert _again(given[2], data, given[1]) == data


# What operators see


class _FixedClock(Clock):
    def now(self) -> int:
        return NOW_US


def _figures() -> dict[str, object]:
    """The document of member 0 of four: 1 was heard, 2 has left, 3 is unknown; 1 has version 6, 0 has 5."""
    metrics = Metrics(["look", "pay"])
    for status in (200, 200, 429, 503, 502):
        metrics.response_sent("look", status)
    metrics.attempt_sent()
    log, clock = cast(Any, lambda line: None), _FixedClock()
    peers = Peers(tuple(("127.0.0.1", 7_000 + number) for number in range(4)), None, 0, Mock())
    others = ClusterMembership(0, "cluster", 3, clock, peers, log, Mock())
    others.configure(MembershipSettings())
    versions = ConfigurationRollout(0, "cluster", 3, clock, peers, log, Mock())
    config = SimpleNamespace(version=5, digest=0xAB, rollout=RolloutSettings())
    versions.configure(others.membership, cast(Configuration, config))
    encode = msgspec.msgpack.encode
    others.datagram_received(1, encode([1, CLUSTER, 1, 100, 0, 7, -1, 0, 0, b"", []]))
    others.datagram_received(2, encode([1, CLUSTER, 2, 100, 4, 0, -1, 0, 0, b"", []]))
    others.datagram_received(3, b"\xff")
    versions.datagram_received(1, encode([2, CLUSTER, 1, 0, 6, 1, 10, 1, 0xCD, 0xCD, 0, b"\x02", b""]))
    figures = metrics.snapshot(pending=2, members=7, unavailable=1)
    figures["membership"], figures["configuration"] = others.metrics(), versions.metrics()
    others.close()
    versions.close()
    return figures


def _called(call: bytes) -> bytes:
    """What a caller of the operators' address gets."""

    async def work() -> bytes:
        interface = AdminInterface(Mock(metrics=_figures))
        await interface.listen(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection("127.0.0.1", interface.port)
        writer.write(call)
        answer = await reader.read()
        writer.close()
        interface.close()
        return answer

    return asyncio.run(work())


def test_the_metrics_document_is_the_recorded_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(cluster_membership, "time", Mock(time=lambda: 1_780_000_000.0))
    answer = _called(b"GET /api/telemetry HTTP/1.1\r\nhost: sidecar\r\n\r\n")
    assert answer == (RECORDED / "telemetry-answer.http").read_bytes()


# Files that processes of one sidecar share


def _unexpected(event: LogEvent) -> None:
    pytest.fail(str(event))


def test_excluded_servers_are_written_as_recorded(tmp_path: Path) -> None:
    handover = PersistedExclusions(tmp_path, _unexpected)
    handover.record("10.0.0.7:8080", frozenset({"10.0.0.9:8080"}), is_excluded=True)
    handover.record("bücher:80", frozenset(), is_excluded=True)
    handover.record("gone:1", frozenset(), is_excluded=True)
    handover.record("gone:1", frozenset(), is_excluded=False)
    assert (tmp_path / "excluded.json").read_bytes() == (RECORDED / "excluded.json").read_bytes()
    assert sorted(path.name for path in tmp_path.iterdir()) == ["excluded.json", "excluded.lock"]


def test_recorded_excluded_servers_are_read() -> None:
    excluded = PersistedExclusions(RECORDED, _unexpected).read()
    assert excluded == frozenset({"10.0.0.7:8080", "10.0.0.9:8080", "bücher:80"})


def test_a_process_of_the_recorded_version_is_seen_by_its_locked_file(tmp_path: Path) -> None:
    presence = ProcessLock(tmp_path, _unexpected, name="1")
    assert [path.name for path in tmp_path.iterdir()] == ["alive.1"]
    with (tmp_path / "alive.4711").open("wb") as mark:
        fcntl.flock(mark, fcntl.LOCK_EX)
        assert not presence.is_only_process()
    assert presence.is_only_process()
    presence.close()


# Files of the test bed


def test_the_recorded_event_log_is_read_and_written_the_same(tmp_path: Path) -> None:
    recorded = RECORDED / "event-log.jsonl"
    with events.EventLogWriter(tmp_path / "log.jsonl") as writer:
        for event in events.load(recorded):
            writer.write(event)
    assert (tmp_path / "log.jsonl").read_bytes() == recorded.read_bytes()


def test_the_recorded_event_log_holds_every_kind_of_event() -> None:
    lines = (RECORDED / "event-log.jsonl").read_text(encoding="utf-8").splitlines()
    kinds = {json.loads(line)["is"] for line in lines}
    assert kinds == {
        *("began", "copy", "server", "trouble", "told", "called", "taken", "unreached", "arrived", "ended"),
        *("answered", "connected", "datagram", "figures", "late", "finished"),
    }


@pytest.mark.parametrize("path", RUNS, ids=lambda path: path.stem)
def test_a_capacity_run_is_read_and_written_the_same(
    path: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    run = samples.load(path)
    taken = datetime.strptime(run.taken, "%Y-%m-%dT%H:%MZ")
    monkeypatch.setattr(samples, "datetime", Mock(now=lambda zone: taken))
    monkeypatch.setattr(samples, "this_commit", lambda: run.commit)
    monkeypatch.setattr(samples, "this_machine", lambda: run.machine)
    again = samples.save(
        run.name, run.command, run.samples, valid=run.valid, notes=run.notes, folder=tmp_path
    )
    whole_as_float = re.sub(rb'("(?:size|value)":-?\d+)(?=,)', rb"\1.0", path.read_bytes())
    assert again.name == path.name and again.read_bytes() == whole_as_float


RESULTS = [
    (
        Key("calm", 1, "module", "model", 1.0, "0a1b"),
        0,
        {"worth": 0.75, "verdict": "kept", "latency_ms": {"p99": 5.0}},
    ),
    (
        Key("calm", 1, "module", "model", 1.0, "ffff"),
        0,
        {"worth": 0.875, "verdict": "kept", "latency_ms": {"p99": 4.5}},
    ),
    (
        Key("calm", 2, "random", "emulator", 1.5, "0a1b"),
        1,
        {"worth": 0.5, "verdict": "broken", "breaches": [{"rule": "lost", "at_us": 5, "text": "é"}]},
    ),
]


def _stored(path: Path) -> list[Any]:
    """All that a store holds, as the database gives it: tables and rows."""
    base = sqlite3.connect(path)
    held = base.execute("SELECT type, name, sql FROM sqlite_master").fetchall()
    held += base.execute("SELECT * FROM cells ORDER BY rowid").fetchall()
    base.close()
    return held


def test_an_experiment_is_stored_as_recorded(tmp_path: Path) -> None:
    store = Store(tmp_path / "experiment.sqlite")
    for key, place, result in RESULTS:
        store.put(key, place, result)
    store.close()
    assert _stored(tmp_path / "experiment.sqlite") == _stored(RECORDED / "experiment.sqlite")


def test_a_recorded_experiment_is_opened(tmp_path: Path) -> None:
    store = Store(Path(shutil.copy(RECORDED / "experiment.sqlite", tmp_path)))
    assert all(store.has(key) for key, _, _ in RESULTS)
    assert store.results() == [(key, result) for key, _, result in RESULTS[1:]]  # the newest of each cell
    store.close()
