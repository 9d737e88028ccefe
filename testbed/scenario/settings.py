"""What a copy is told at its start: the settings, worded as the platform does."""

from __future__ import annotations

import json
from typing import Any

from testbed.scenario.scenario_run import ScenarioRun

RESPONSE_SLACK_US = 50_000
DRAIN_GRACE_US = 2_000_000
OVERLOAD_WINDOW_US = 1_500_000
OVERLOAD_MULTIPLE = 3.0
ACCEPT_AFTER_SIGTERM_US = 700_000  # so long after SIGTERM requests still come
_LONGEST_DEADLINE_US = 3_000_000


def sigkill_delay_us(day: ScenarioRun) -> int:
    """How soon SIGKILL may come after SIGTERM: after the longest deadline, within a bound, and a little."""
    return min(max(each.deadline_us for each in day.classes), _LONGEST_DEADLINE_US) + ACCEPT_AFTER_SIGTERM_US


def replica_settings(day: ScenarioRun, copy: int) -> dict[str, Any]:
    """The settings of one copy, in the wire's words; they hold nothing that a platform would not tell."""
    told = _plain(day, copy)
    if day.changed_setting is not None:
        key, value = day.changed_setting
        *path, last = key.split(".")
        inner = told
        for name in path:
            inner = inner[name]
        inner[last] = json.loads(value)
    return told


def _plain(day: ScenarioRun, copy: int) -> dict[str, Any]:
    cold = max(day.servers, key=lambda each: each.slow_start_us)
    return {
        "lanes": [
            {
                "name": each.name,
                "giveUpUs": each.deadline_us,
                "promiseUs": each.latency_objective_us,
                "worth": each.priority_weight,
                "lateValue": each.late_priority_weight,
                "repeat": each.idempotency,
                "group": each.idempotency_scope,
                "memorySpanUs": each.idempotency_window_us,
            }
            for each in day.classes
        ],
        "realms": [{"name": each.name, "portion": each.share, "quotaRps": 0.0} for each in day.tenants],
        "zone": day.replicas[copy].zone,
        "zones": [each.name for each in day.zones],
        "me": copy,
        "groupSize": len(day.replicas),
        "quantumUs": 5_000,
        "discovery": "pushed" if day.discovery.is_pushed else "on_request",
        "weights": "silent",
        "worthBy": "request",
        "report": {"columns": [], "source": "silent"},
        "bounds": {
            "sendCap": day.sidecars.max_attempts,
            "secondCopies": False,
            "mayCancel": True,
            "mayTell": day.sidecars.may_message_peers,
            "probing": False,
            "retryAfter": True,
            "maxRetryAfterUs": 400_000,
            "dialTimeoutUs": day.network.connect_timeout_us,
            "idleCloseUs": 10_000_000,
            "streamsPerConn": 1,
        },
        "guarantees": {
            "answerSlackUs": RESPONSE_SLACK_US,
            "askWithinUs": day.discovery.max_poll_interval_us,
            "drainGraceUs": DRAIN_GRACE_US,
            "coldFrom": min(each.slow_start_initial_capacity for each in day.servers),
            "coldUs": cold.slow_start_us,
            "fallMultiple": OVERLOAD_MULTIPLE,
            "fallUs": OVERLOAD_WINDOW_US,
        },
        "prices": {"crossZone": 0.03, "handshake": 0.05, "connection": 0.05, "waste": 0.05, "peer": 0.01},
        "clientHabits": {"marksRetry": True},
    }
