"""Compatibility of all external formats with samples that an earlier version recorded.

The current code must read each sample and write it unchanged.  The samples in `tests/data/samples/` must not
be regenerated when names change.  If a format changes on purpose, a new sample is added beside the old one.
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
SAMPLES = Path(__file__).parent / "data" / "samples"
CLUSTER = message.cluster_id("cluster")
NOW_US = 7_000_000_000


# Datagrams


def _recorded_datagrams() -> Iterator[tuple[int, bytes]]:
    """Yield the sender and the content of each datagram in the recorded conversations."""
    for path in sorted(SAMPLES.glob("conversation-*.json")):
        record = json.loads(path.read_text(encoding="utf-8"))
        for _, event, outputs in record["events"]:
            if event[0] == "heard" and len(event[2]) > 10:
                yield event[1], bytes.fromhex(event[2])
            yield from ((record["me"], bytes.fromhex(output[2])) for output in outputs if output[0] == "send")


def _fuzz_datagrams(path: Path) -> Iterator[bytes]:
    """Yield the datagrams of a fuzzing input; each follows a byte for its sender and one for its length."""
    data = path.read_bytes()
    while data:
        yield data[2 : 2 + data[1]]
        data = data[2 + data[1] :]


def _decode_and_encode(sender: int, data: bytes, cluster: int = CLUSTER) -> bytes:
    """Decode a membership or rollout datagram, and encode the result."""
    if not rollout_message.is_rollout_message(data):
        return message.encode(message.decode(data, cluster, sender))
    decoded = rollout_message.decode(data, cluster, sender)
    return rollout_message.encode(
        cluster, sender, decoded.kind, decoded.aggregation_round(NOW_US), decoded.chunk, NOW_US
    )


def test_recorded_datagrams_are_decoded_and_encoded_unchanged() -> None:
    datagrams = set(_recorded_datagrams())
    assert len(datagrams) > 500
    assert [data for sender, data in datagrams if _decode_and_encode(sender, data) != data] == []
    assert max(len(data) for _, data in datagrams) <= MAX_DATAGRAM_BYTES == 256


def test_recorded_datagrams_include_every_kind() -> None:
    datagrams = [
        (rollout_message.is_rollout_message(data), msgspec.msgpack.decode(data))
        for _, data in set(_recorded_datagrams())
    ]
    assert {values[4] for is_rollout, values in datagrams if not is_rollout} == {0, 1, 2, 3, 4}
    assert {values[3] for is_rollout, values in datagrams if is_rollout} == {0, 1}
    assert any(values[9] and values[10] for is_rollout, values in datagrams if not is_rollout)


# The inputs in `corpus` are not included: they are for the HTTP codec and hold no datagrams.
FUZZ_INPUTS = sorted((ROOT / "fuzz").glob("corpus-*/*"))
CAPACITY_RUNS = sorted(samples.FOLDER.glob("*.json"))


def test_fuzzing_inputs_and_capacity_runs_are_found() -> None:
    assert len(FUZZ_INPUTS) >= 12 and len(CAPACITY_RUNS) >= 30


@pytest.mark.parametrize("path", FUZZ_INPUTS, ids=lambda path: f"{path.parent.name}-{path.name}")
def test_datagrams_of_fuzzing_input_are_decoded_and_encoded_unchanged(path: Path) -> None:
    for data in _fuzz_datagrams(path):
        values = msgspec.msgpack.decode(data)
        assert _decode_and_encode(values[2], data, values[1]) == data


# Metrics


class _FixedClock(Clock):
    def now(self) -> int:
        return NOW_US


def _metrics_document() -> dict[str, object]:
    """Return the metrics of member 0 of four.

    A datagram of member 1 was received, member 2 has left and member 3 is unknown.  Member 0 has version 5 in
    force, and member 1 has version 6.
    """
    metrics = Metrics(["look", "pay"])
    for status in (200, 200, 429, 503, 502):
        metrics.response_sent("look", status)
    metrics.attempt_sent()
    log, clock = cast(Any, lambda line: None), _FixedClock()
    peers = Peers(tuple(("127.0.0.1", 7_000 + number) for number in range(4)), None, 0, Mock())
    membership = ClusterMembership(0, "cluster", 3, clock, peers, log, Mock())
    membership.configure(MembershipSettings())
    rollout = ConfigurationRollout(0, "cluster", 3, clock, peers, log, Mock())
    configuration = SimpleNamespace(version=5, digest=0xAB, rollout=RolloutSettings())
    rollout.configure(membership.membership, cast(Configuration, configuration))
    encode = msgspec.msgpack.encode
    membership.datagram_received(1, encode([1, CLUSTER, 1, 100, 0, 7, -1, 0, 0, b"", []]))
    membership.datagram_received(2, encode([1, CLUSTER, 2, 100, 4, 0, -1, 0, 0, b"", []]))
    membership.datagram_received(3, b"\xff")
    rollout.datagram_received(1, encode([2, CLUSTER, 1, 0, 6, 1, 10, 1, 0xCD, 0xCD, 0, b"\x02", b""]))
    document = metrics.snapshot(pending=2, members=7, unavailable=1)
    document["membership"], document["configuration"] = membership.metrics(), rollout.metrics()
    membership.close()
    rollout.close()
    return document


def _admin_response(request: bytes) -> bytes:
    """Return the response of an admin interface to a request."""

    async def send_request() -> bytes:
        interface = AdminInterface(Mock(metrics=_metrics_document))
        await interface.listen(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection("127.0.0.1", interface.port)
        writer.write(request)
        response = await reader.read()
        writer.close()
        interface.close()
        return response

    return asyncio.run(send_request())


def test_metrics_response_is_the_recorded_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(cluster_membership, "time", Mock(time=lambda: 1_780_000_000.0))
    response = _admin_response(b"GET /api/telemetry HTTP/1.1\r\nhost: sidecar\r\n\r\n")
    assert response == (SAMPLES / "telemetry-answer.http").read_bytes()


# Files that the processes of a sidecar share


def _fail_on_log_event(event: LogEvent) -> None:
    pytest.fail(str(event))


def test_exclusions_file_is_written_as_recorded(tmp_path: Path) -> None:
    exclusions = PersistedExclusions(tmp_path, _fail_on_log_event)
    exclusions.record("10.0.0.7:8080", frozenset({"10.0.0.9:8080"}), is_excluded=True)
    exclusions.record("bücher:80", frozenset(), is_excluded=True)
    exclusions.record("gone:1", frozenset(), is_excluded=True)
    exclusions.record("gone:1", frozenset(), is_excluded=False)
    assert (tmp_path / "excluded.json").read_bytes() == (SAMPLES / "excluded.json").read_bytes()
    assert sorted(path.name for path in tmp_path.iterdir()) == ["excluded.json", "excluded.lock"]


def test_recorded_exclusions_file_is_read() -> None:
    excluded = PersistedExclusions(SAMPLES, _fail_on_log_event).read()
    assert excluded == frozenset({"10.0.0.7:8080", "10.0.0.9:8080", "bücher:80"})


def test_process_of_the_recorded_version_is_detected_by_its_lock_file(tmp_path: Path) -> None:
    process_lock = ProcessLock(tmp_path, _fail_on_log_event, name="1")
    assert [path.name for path in tmp_path.iterdir()] == ["alive.1"]
    with (tmp_path / "alive.4711").open("wb") as lock_file:
        fcntl.flock(lock_file, fcntl.LOCK_EX)
        assert not process_lock.is_only_process()
    assert process_lock.is_only_process()
    process_lock.close()


# Files of the test bed


def test_recorded_event_log_is_read_and_written_unchanged(tmp_path: Path) -> None:
    recorded = SAMPLES / "event-log.jsonl"
    with events.EventLogWriter(tmp_path / "log.jsonl") as writer:
        for event in events.load(recorded):
            writer.write(event)
    assert (tmp_path / "log.jsonl").read_bytes() == recorded.read_bytes()


def test_recorded_event_log_contains_every_kind_of_event() -> None:
    lines = (SAMPLES / "event-log.jsonl").read_text(encoding="utf-8").splitlines()
    kinds = {json.loads(line)["is"] for line in lines}
    assert kinds == {
        *("began", "copy", "server", "trouble", "told", "called", "taken", "unreached", "arrived", "ended"),
        *("answered", "connected", "datagram", "figures", "late", "finished"),
    }


@pytest.mark.parametrize("path", CAPACITY_RUNS, ids=lambda path: path.stem)
def test_capacity_run_is_read_and_written_unchanged(
    path: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    run = samples.load(path)
    recorded_at = datetime.strptime(run.taken, "%Y-%m-%dT%H:%MZ")
    monkeypatch.setattr(samples, "datetime", Mock(now=lambda zone: recorded_at))
    monkeypatch.setattr(samples, "this_commit", lambda: run.commit)
    monkeypatch.setattr(samples, "this_machine", lambda: run.machine)
    copy = samples.save(run.name, run.command, run.samples, valid=run.valid, notes=run.notes, folder=tmp_path)
    # Sizes and values are written as floats, also if they were recorded as integers.
    expected = re.sub(rb'("(?:size|value)":-?\d+)(?=,)', rb"\1.0", path.read_bytes())
    assert copy.name == path.name and copy.read_bytes() == expected


EXPERIMENT_RESULTS = [
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


def _database_content(path: Path) -> list[Any]:
    """Return the schema and all rows of an experiment store."""
    database = sqlite3.connect(path)
    content = database.execute("SELECT type, name, sql FROM sqlite_master").fetchall()
    content += database.execute("SELECT * FROM cells ORDER BY rowid").fetchall()
    database.close()
    return content


def test_experiment_is_stored_as_recorded(tmp_path: Path) -> None:
    store = Store(tmp_path / "experiment.sqlite")
    for key, place, result in EXPERIMENT_RESULTS:
        store.put(key, place, result)
    store.close()
    assert _database_content(tmp_path / "experiment.sqlite") == _database_content(
        SAMPLES / "experiment.sqlite"
    )


def test_recorded_experiment_is_read(tmp_path: Path) -> None:
    store = Store(Path(shutil.copy(SAMPLES / "experiment.sqlite", tmp_path)))
    assert all(store.has(key) for key, _, _ in EXPERIMENT_RESULTS)
    # Only the newest result of each cell is returned.
    assert store.results() == [(key, result) for key, _, result in EXPERIMENT_RESULTS[1:]]
    store.close()
