"""Compatibility of the cluster protocols with the recorded release, so that both can form one cluster.

A member that receives the recorded datagrams must reach the recorded state and send the recorded datagrams,
byte for byte.
"""

from __future__ import annotations

import json
from typing import Any

import pytest
from cluster_adapter import Process
from cluster_conversation import SAMPLES, record_conversation

RECORDS = ["conversation-killed", "conversation-lasting", "conversation-restarted"]


def _read_record(name: str) -> dict[str, Any]:
    record: dict[str, Any] = json.loads((SAMPLES / f"{name}.json").read_text(encoding="utf-8"))
    return record


@pytest.mark.parametrize("name", RECORDS)
def test_member_replays_recorded_events_with_equal_outputs(name: str) -> None:
    record = _read_record(name)
    parameters = [record[key] for key in ("me", "size", "seed", "now", "unix_s", "version")]
    process = Process(*parameters)
    for now, event, outputs in record["events"]:
        assert (now, event, process.handle(now, event)) == (now, event, outputs)
    assert process.belief(record["end"]) == record["belief"]
    assert process.dropped() == record["dropped"]


def test_simulated_cluster_produces_the_recorded_conversation() -> None:
    records = json.loads(json.dumps(record_conversation()))
    assert {name: records[name] for name in RECORDS} == {name: _read_record(name) for name in RECORDS}


@pytest.mark.parametrize(
    "output", ["send", "wake", "news", "look", "settled", "ambiguous", "slept", "missing"]
)
def test_records_contain_every_kind_of_output(output: str) -> None:
    assert output in [name for name, *_ in _recorded_outputs()]


def test_records_contain_every_member_state() -> None:
    assert {output[2] for output in _recorded_outputs() if output[0] == "news"} == {0, 1, 2, 3}


def _recorded_outputs() -> list[list[Any]]:
    records = [_read_record(name) for name in RECORDS]
    return [output for record in records for _, _, outputs in record["events"] for output in outputs]
