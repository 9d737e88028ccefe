"""The settings of a replica, in the format in which the platform passes them on."""

from __future__ import annotations

import json
from typing import Any

from testbed.scenario.scenario_run import ScenarioRun

# Guarantees and requirements of the platform; the checker holds runs against them.
RESPONSE_SLACK_US = 50_000
DRAIN_GRACE_US = 2_000_000
OVERLOAD_WINDOW_US = 1_500_000
OVERLOAD_MULTIPLE = 3.0
ACCEPT_AFTER_SIGTERM_US = 700_000  # how long new requests still arrive after SIGTERM
_MAX_DEADLINE_US = 3_000_000  # a longer deadline does not postpone SIGKILL further


def sigkill_delay_us(run: ScenarioRun) -> int:
    """Return how soon after SIGTERM the platform may send SIGKILL.

    That is the longest deadline of the classes, up to a limit, after the last new request.
    """
    longest_us = max(service_class.deadline_us for service_class in run.classes)
    return min(longest_us, _MAX_DEADLINE_US) + ACCEPT_AFTER_SIGTERM_US


def replica_settings(run: ScenarioRun, replica: int) -> dict[str, Any]:
    """Return the settings of a replica under their outer names, with the run's changed setting applied.

    They hold nothing that the platform would not pass on.
    """
    settings = _platform_settings(run, replica)
    if run.changed_setting is not None:
        path, value = run.changed_setting
        *parents, key = path.split(".")
        section = settings
        for name in parents:
            section = section[name]
        section[key] = json.loads(value)
    return settings


def _platform_settings(run: ScenarioRun, replica: int) -> dict[str, Any]:
    slowest = max(run.servers, key=lambda server: server.slow_start_us)
    return {
        "lanes": [
            {
                "name": service_class.name,
                "giveUpUs": service_class.deadline_us,
                "promiseUs": service_class.latency_objective_us,
                "worth": service_class.priority_weight,
                "lateValue": service_class.late_priority_weight,
                "repeat": service_class.idempotency,
                "group": service_class.idempotency_scope,
                "memorySpanUs": service_class.idempotency_window_us,
            }
            for service_class in run.classes
        ],
        "realms": [{"name": tenant.name, "portion": tenant.share, "quotaRps": 0.0} for tenant in run.tenants],
        "zone": run.replicas[replica].zone,
        "zones": [zone.name for zone in run.zones],
        "me": replica,
        "groupSize": len(run.replicas),
        "quantumUs": 5_000,
        "discovery": "pushed" if run.discovery.is_pushed else "on_request",
        "weights": "silent",
        "worthBy": "request",
        "report": {"columns": [], "source": "silent"},
        "bounds": {
            "sendCap": run.sidecars.max_attempts,
            "secondCopies": False,
            "mayCancel": True,
            "mayTell": run.sidecars.may_message_peers,
            "probing": False,
            "retryAfter": True,
            "maxRetryAfterUs": 400_000,
            "dialTimeoutUs": run.network.connect_timeout_us,
            "idleCloseUs": 10_000_000,
            "streamsPerConn": 1,
        },
        "guarantees": {
            "answerSlackUs": RESPONSE_SLACK_US,
            "askWithinUs": run.discovery.max_poll_interval_us,
            "drainGraceUs": DRAIN_GRACE_US,
            "coldFrom": min(server.slow_start_initial_capacity for server in run.servers),
            "coldUs": slowest.slow_start_us,
            "fallMultiple": OVERLOAD_MULTIPLE,
            "fallUs": OVERLOAD_WINDOW_US,
        },
        "prices": {"crossZone": 0.03, "handshake": 0.05, "connection": 0.05, "waste": 0.05, "peer": 0.01},
        "clientHabits": {"marksRetry": True},
    }
