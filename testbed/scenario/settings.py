"""What a copy is told at its start: the settings, worded as the platform does."""

from __future__ import annotations

import json
from typing import Any

from testbed.scenario.day import Day

ANSWER_SLACK_US = 50_000
DRAIN_GRACE_US = 2_000_000
FALL_US = 1_500_000
FALL_MULTIPLE = 3.0
NEW_FOR_US = 700_000  # so long after SIGTERM requests still come
_LONGEST_DEADLINE_US = 3_000_000


def killed_after_us(day: Day) -> int:
    """How soon SIGKILL may come after SIGTERM: after the longest deadline, within a bound, and a little."""
    return min(max(each.deadline_us for each in day.classes), _LONGEST_DEADLINE_US) + NEW_FOR_US


def settings(day: Day, copy: int) -> dict[str, Any]:
    """The settings of one copy, in the wire's words; they hold nothing that a platform would not tell."""
    told = _plain(day, copy)
    if day.changed is not None:
        key, value = day.changed
        *path, last = key.split(".")
        inner = told
        for name in path:
            inner = inner[name]
        inner[last] = json.loads(value)
    return told


def _plain(day: Day, copy: int) -> dict[str, Any]:
    cold = max(day.servers, key=lambda each: each.cold_us)
    return {
        "lanes": [
            {
                "name": each.name,
                "giveUpUs": each.deadline_us,
                "promiseUs": each.aim_us,
                "worth": each.worth,
                "lateValue": each.late_worth,
                "repeat": each.repeat,
                "group": each.group,
                "memorySpanUs": each.memory_us,
            }
            for each in day.classes
        ],
        "realms": [{"name": each.name, "portion": each.share, "quotaRps": 0.0} for each in day.tenants],
        "zone": day.copies[copy].zone,
        "zones": [each.name for each in day.zones],
        "me": copy,
        "groupSize": len(day.copies),
        "quantumUs": 5_000,
        "discovery": "pushed" if day.discovery.pushed else "on_request",
        "weights": "silent",
        "worthBy": "request",
        "report": {"columns": [], "source": "silent"},
        "bounds": {
            "sendCap": day.sidecars.attempts,
            "secondCopies": False,
            "mayCancel": True,
            "mayTell": day.sidecars.datagrams,
            "probing": False,
            "retryAfter": True,
            "maxRetryAfterUs": 400_000,
            "dialTimeoutUs": day.network.dial_timeout_us,
            "idleCloseUs": 10_000_000,
            "streamsPerConn": 1,
        },
        "guarantees": {
            "answerSlackUs": ANSWER_SLACK_US,
            "askWithinUs": day.discovery.ask_within_us,
            "drainGraceUs": DRAIN_GRACE_US,
            "coldFrom": min(each.cold_from for each in day.servers),
            "coldUs": cold.cold_us,
            "fallMultiple": FALL_MULTIPLE,
            "fallUs": FALL_US,
        },
        "prices": {"crossZone": 0.03, "handshake": 0.05, "connection": 0.05, "waste": 0.05, "peer": 0.01},
        "clientHabits": {"marksRetry": True},
    }
