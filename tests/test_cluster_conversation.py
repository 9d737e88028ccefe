"""Sidecars of the recorded version and of this one form one cluster.

A member of this version that hears the recorded datagrams believes and answers what the recorded one did,
byte for byte; so a member of the recorded version can't tell it from one of its own.
"""

from __future__ import annotations

import json
from typing import Any

import pytest
from cluster_conversation import RECORDED, converse
from cluster_vocabulary import Process

RECORDS = ["conversation-killed", "conversation-lasting", "conversation-restarted"]


def _recorded(name: str) -> dict[str, Any]:
    record: dict[str, Any] = json.loads((RECORDED / f"{name}.json").read_text(encoding="utf-8"))
    return record


@pytest.mark.parametrize("name", RECORDS)
def test_a_member_that_hears_the_recorded_datagrams_answers_as_recorded(name: str) -> None:
    record = _recorded(name)
    started = [record[key] for key in ("me", "size", "seed", "now", "unix_s", "version")]
    process = Process(*started)
    for now, event, outputs in record["events"]:
        assert (now, event, process.play(now, event)) == (now, event, outputs)
    assert process.belief(record["end"]) == record["belief"]
    assert process.dropped() == record["dropped"]


def test_the_cluster_converses_as_recorded() -> None:
    played = json.loads(json.dumps(converse()))
    assert {name: played[name] for name in RECORDS} == {name: _recorded(name) for name in RECORDS}


@pytest.mark.parametrize(
    "output", ["send", "wake", "news", "look", "settled", "ambiguous", "slept", "missing"]
)
def test_the_records_hold_every_kind_of_output(output: str) -> None:
    outputs = [out[0] for name in RECORDS for _, _, outs in _recorded(name)["events"] for out in outs]
    assert output in outputs


def test_the_records_hold_every_state_of_a_member() -> None:
    outputs = [out for name in RECORDS for _, _, outs in _recorded(name)["events"] for out in outs]
    assert {out[2] for out in outputs if out[0] == "news"} == {0, 1, 2, 3}
