"""Compatibility of the scale run's plan and of the messages on its workers' pipes with recorded samples.

The current code must read each sample and write it unchanged.  The samples in `tests/data/samples/` must not
be regenerated when names change.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from testbed.scale.plan import Event, Plan
from testbed.scale.worker import Order, Reply, Share

SAMPLES = Path(__file__).parent / "data" / "samples"
KINDS = {
    "bind",
    "start",
    "watched",
    "look",
    "count",
    "introduce",
    "publish",
    "hang up",
    "kill",
    "leave",
    "settle",
    "cut",
    "loss",
    "watch deaths",
    "watch lists",
    "watch versions",
}


@pytest.mark.parametrize(
    ("name", "message_type"),
    [
        ("scale-plan.json", Plan),
        ("scale-share.json", Share),
        ("scale-orders.jsonl", Order),
        ("scale-reply.json", Reply),
    ],
)
def test_recorded_message_is_read_and_written_unchanged(
    name: str, message_type: type[msgspec.Struct]
) -> None:
    lines = (SAMPLES / name).read_bytes().splitlines()
    assert lines
    for line in lines:
        message = msgspec.json.decode(line, type=message_type)
        assert msgspec.json.encode(message) == line
        # A renamed field would be skipped as unknown and read as its default.
        assert set(msgspec.json.decode(line)) == {
            field.encode_name for field in msgspec.structs.fields(message)
        }


def test_recorded_orders_are_of_every_kind() -> None:
    lines = (SAMPLES / "scale-orders.jsonl").read_bytes().splitlines()
    assert {msgspec.json.decode(line)["do"] for line in lines} == KINDS


def test_recorded_plan_has_every_event() -> None:
    plan = msgspec.json.decode((SAMPLES / "scale-plan.json").read_bytes(), type=Plan)
    assert plan.events == tuple(Event)
