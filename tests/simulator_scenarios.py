"""Scenarios of the reference runs: fleets, settings and faults, as data."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

MS = 1_000
S = 1_000_000


@dataclass(frozen=True)
class Fault:
    """A fault or change at a time after the start; `kind` names the handler in the simulation."""

    kind: str
    at_us: int
    duration_us: int = 5 * S
    servers: int = 0  # number of randomly chosen servers; 0: all
    zone: str | None = None  # only servers of this zone
    behaviour: str = "app_error"
    factor: float = 1.0
    moves_servers: bool = False  # the servers return in the first zone, with twice the nominal capacity


@dataclass(frozen=True)
class Scenario:
    """The fleet, settings, load and faults of one reference run.

    Fields that end in `_rate` are probabilities.  Nominal capacities of servers are drawn from `sizes`.
    """

    name: str
    seed: int
    settings: dict[str, Any]
    servers: int = 3
    instances: int = 1
    group_size: int = 4
    duration_us: int = 20 * S
    arrivals_per_s: float = 100.0
    lane_weights: tuple[float, ...] = (5.0, 2.0, 1.0, 1.0, 1.0, 1.0)
    tenant_weights: tuple[float, ...] = (6.0, 2.0, 1.0)
    zones: tuple[str, ...] = ("east",)
    sizes: tuple[float, ...] = (2.0,)
    queue_per_size: float = 8.0
    work_us: int = 25 * MS
    work_factors: tuple[float, ...] = (0.3, 0.6, 1.0, 1.0, 1.6, 6.0)  # factors on `work_us`, drawn by request
    hint_rate: float = 0.7
    disconnect_rate: float = 0.01
    client_retry_rate: float = 0.5
    unnamed_class_rate: float = 0.0
    unsent_rate: float = 0.002  # of attempts that end as not sent
    wrong_hint_rate: float = 0.0
    repeated_end_rate: float = 0.0  # of events that are delivered twice
    call_failure_rate: float = 0.0  # of calls to discovery
    lost_call_rate: float = 0.0  # of calls to discovery that get no answer
    streamed_body_rate: float = 0.0
    lists_sizes: bool = False  # whether endpoint lists contain the nominal capacities
    is_direct: bool = False  # events are passed to the balancer without the wire protocol
    faults: tuple[Fault, ...] = field(default=())


def _lane(name: str, repeat: str, group: str = "all", **more: Any) -> dict[str, Any]:
    lane = {
        "name": name,
        "giveUpUs": 1_500 * MS,
        "promiseUs": 300 * MS,
        "worth": 1.0,
        "lateValue": 0.2,
        "repeat": repeat,
        "group": group,
        "memorySpanUs": 800 * MS,
    }
    return {**lane, **more}


LANES = [
    _lane("look", "read_like", worth=3.0),
    _lane("pay", "non_idempotent", worth=10.0, giveUpUs=2_500 * MS),
    _lane("amend-all", "idempotency_key", "all", worth=2.0),
    _lane("amend-zone", "idempotency_key", "zone"),
    _lane("amend-cell", "idempotency_key", "cell", promiseUs=500 * MS),
    _lane("watch", "read_like", streaming=True, aimStretch=2.0, worth=0.5),
]
TENANTS = [
    {"name": "large", "portion": 0.4, "quotaRps": 60.0},
    {"name": "middle", "portion": 0.3, "quotaRps": 30.0},
    {"name": "small", "portion": 0.1, "quotaRps": 5.0},
]
BOUNDS = {
    "sendCap": 4,
    "secondCopies": True,
    "mayCancel": True,
    "probing": True,
    "mayTell": True,
    "retryAfter": True,
    "maxRetryAfterUs": 400 * MS,
    "dialTimeoutUs": 100 * MS,
    "idleCloseUs": 10 * S,
    "streamsPerConn": 1,
}
GUARANTEES = {
    "answerSlackUs": 20 * MS,
    "askWithinUs": 10 * S,
    "coldFrom": 0.15,
    "coldUs": 6 * S,
    "drainGraceUs": 500 * MS,
    "fallMultiple": 3.0,
    "fallUs": 1_500 * MS,
}
REPORTS = {"source": "piggyback", "columns": ["util", "inflight"]}


def _settings(**changes: Any) -> dict[str, Any]:
    """Return permissive settings with changes; `bounds` and `guarantees` are merged, other keys replaced."""
    settings: dict[str, Any] = {
        "bounds": BOUNDS,
        "guarantees": GUARANTEES,
        "lanes": LANES,
        "discovery": "on_request",
        "weights": "silent",
        "worthBy": "request",
        "overShareWorth": 0.05,
        "quantumUs": 5 * MS,
        "zone": "east",
        "kinds": ["box"],
        "clientHabits": {"marksRetry": True},
        "prices": {"crossZone": 0.0, "waste": 0.05},
        "goal": {"whole": 0.4, "worstClass": 0.2},
    }
    for key, value in changes.items():
        settings[key] = {**settings[key], **value} if key in ("bounds", "guarantees") else value
    return settings


EVEN = (0.9, 1.0, 1.1)  # factors on the work
CAUTIOUS = {"secondCopies": False, "mayCancel": False, "retryAfter": False, "sendCap": 2}
LATENCIES = {"source": "piggyback", "columns": ["latency_ms"]}
CROSSINGS = {"crossZone": 0.03}
ZONES = ("east", "west", "north")

SCENARIOS = (
    Scenario("one-server", 101, _settings(prices=CROSSINGS), servers=1, repeated_end_rate=0.01,
        arrivals_per_s=40.0, faults=(
        Fault("behaviour", 4 * S, 2 * S, behaviour="shed"),
        Fault("down", 8 * S, 2 * S),
        Fault("behaviour", 13 * S, 2 * S, behaviour="silent"),
        Fault("unasked", 17 * S),
    )),
    Scenario("three-servers-errors", 102, _settings(report=REPORTS), arrivals_per_s=80.0, faults=(
        Fault("behaviour", 3 * S, 4 * S, 1),
        Fault("behaviour", 9 * S, 3 * S, 1, behaviour="dropped"),
        Fault("down", 14 * S, 3 * S, 1),
        Fault("unasked", 18 * S),
    )),
    Scenario("everything-fails", 119, _settings(), servers=12, zones=ZONES, repeated_end_rate=0.02,
        wrong_hint_rate=0.02, faults=(
        Fault("behaviour", 3 * S, 3 * S),
        Fault("behaviour", 8 * S, 5 * S, 6),
        Fault("behaviour", 8 * S, 5 * S, zone="north", behaviour="silent"),
        Fault("behaviour", 10 * S, 3 * S, zone="east"),
        Fault("behaviour", 14 * S, 4 * S, behaviour="dropped"),
        Fault("unasked", 16 * S),
    )),
    Scenario("everything-fails-uncopied", 120, _settings(bounds={"secondCopies": False}), servers=12,
        zones=ZONES, duration_us=16 * S, faults=(
        Fault("behaviour", 100 * MS, 1 * S, 11),
        Fault("behaviour", 4 * S, 5 * S, 6),
        Fault("behaviour", 4 * S, 5 * S, zone="north", behaviour="silent"),
        Fault("behaviour", 6 * S, 3 * S, zone="east"),
        Fault("behaviour", 11 * S, 3 * S, 11, behaviour="silent"),
    )),
    Scenario("cautious-limits", 103, _settings(bounds=CAUTIOUS, discovery="pushed", report=LATENCIES),
        servers=6, faults=(
        Fault("behaviour", 3 * S, 4 * S, 2, behaviour="silent"),
        Fault("behaviour", 9 * S, 3 * S, 2, behaviour="dropped"),
        Fault("behaviour", 13 * S, 3 * S, 2, behaviour="shed"),
        Fault("slow", 16 * S, 3 * S, 2, factor=6.0),
    )),
    Scenario("cancel-without-copies", 104, _settings(bounds={"secondCopies": False}), servers=8, faults=(
        Fault("behaviour", 3 * S, 6 * S, 2, behaviour="silent"),
        Fault("slow", 11 * S, 5 * S, 3, factor=8.0),
    )),
    Scenario("copies-without-cancel", 105, _settings(bounds={"mayCancel": False}), servers=8, faults=(
        Fault("unasked", 5 * S),
        Fault("unasked", 6 * S),
        Fault("behaviour", 3 * S, 6 * S, 2, behaviour="silent"),
        Fault("slow", 11 * S, 5 * S, 3, factor=8.0),
    )),
    Scenario("twenty-servers-restarts", 106, _settings(), servers=20, arrivals_per_s=200.0,
        duration_us=16 * S, faults=(
        Fault("down", 2 * S, 1 * S, 3),
        Fault("down", 5 * S, 500 * MS, 10),
        Fault("drain", 9 * S, 2 * S, 4),
        Fault("behaviour", 10 * S, 3 * S, 4),
        Fault("drain", 11 * S, 2 * S, 12, moves_servers=True),
    )),
    Scenario("two-hundred-servers", 107, _settings(discovery="pushed"), servers=200, instances=2,
        arrivals_per_s=220.0, duration_us=9 * S, faults=(
        Fault("down", 2 * S, 1 * S, 40),
        Fault("behaviour", 3 * S, 3 * S, 30),
        Fault("drain", 5 * S, 2 * S, 50),
    )),
    Scenario("zone-lost", 108, _settings(prices=CROSSINGS), servers=18, zones=ZONES, instances=3,
        arrivals_per_s=150.0, duration_us=18 * S, faults=(
        Fault("unreachable", 3 * S, 4 * S, zone="east"),
        Fault("unreachable", 9 * S, 3 * S, zone="west"),
        Fault("slow", 13 * S, 4 * S, zone="east", factor=5.0),
        Fault("drain", 14 * S, 1 * S, 6),
    )),
    Scenario("own-zone-alone", 109, _settings(prices=CROSSINGS, zone="south"), servers=9, zones=ZONES,
        duration_us=8 * S, faults=(Fault("remove", 4 * S, 3 * S, 7, moves_servers=True),)),
    Scenario("overload-burst", 110, _settings(realms=TENANTS, report=REPORTS), servers=4,
        arrivals_per_s=110.0, duration_us=15 * S, work_us=40 * MS, queue_per_size=100.0,
        faults=(Fault("burst", 4 * S, 3 * S, factor=5.0), Fault("burst", 9 * S, 5 * S, factor=1.7))),
    Scenario("overload-without-reports", 111, _settings(realms=TENANTS, prices=CROSSINGS, overShareWorth=0.5),
        servers=4, zones=ZONES[:2], duration_us=15 * S, queue_per_size=100.0, client_retry_rate=0.6,
        faults=(Fault("burst", 3 * S, 4 * S, factor=5.0), Fault("slow", 10 * S, 3 * S, factor=4.0))),
    Scenario("relisted-sizes", 121, _settings(weights="live", discovery="pushed"), servers=6,
        sizes=(0.0, 1.0, 2.0), lists_sizes=True, duration_us=10 * S, faults=(
        Fault("relist", 2 * S),
        Fault("relist", 3 * S),
        Fault("down", 4 * S, 1 * S, 3),
        Fault("relist", 7 * S),
    )),
    Scenario("unsized-servers", 122, _settings(weights="live"), servers=4, sizes=(0.0,), lists_sizes=True,
        arrivals_per_s=30.0, duration_us=10 * S,
        faults=(Fault("down", 3 * S, 1 * S, 2), Fault("down", 6 * S, 1 * S))),
    Scenario("everybody-full", 112, _settings(guarantees={"lateShedding": True, "letGoInUs": 500 * MS}),
        servers=5, queue_per_size=1.5, faults=(
        Fault("burst", 4 * S, 3 * S, factor=3.0),
        Fault("drain", 9 * S, 3 * S, 2),
        Fault("behaviour", 13 * S, 3 * S, behaviour="shed"),
    )),
    Scenario("discovery-fails", 113, _settings(), servers=6, instances=2, call_failure_rate=0.3,
        lost_call_rate=0.1, duration_us=60 * S, arrivals_per_s=25.0, faults=(
        Fault("discovery", 3 * S, 20 * S),
        Fault("remove", 10 * S, 30 * S, 2),
        Fault("drain", 27 * S, 4 * S, 2),
        Fault("discovery", 35 * S, 3 * S),
        Fault("restart_instance", 44 * S, 2 * S),
        Fault("discovery", 45 * S, 5 * S),
    )),
    Scenario("idle-connections-die", 114, _settings(), servers=12, arrivals_per_s=12.0, duration_us=90 * S,
        zones=ZONES, faults=(
        Fault("idle_dies", 10 * S, 40 * S, factor=300 * MS),
        Fault("behaviour", 60 * S, 10 * S, 3, behaviour="silent"),
        Fault("idle_dies", 75 * S, 15 * S, 5, factor=2.0 * S),
    )),
    Scenario("streams", 115, _settings(lanes=[LANES[5], LANES[0]]), servers=6, lane_weights=(3.0, 1.0),
        disconnect_rate=0.1, faults=(
        Fault("behaviour", 4 * S, 4 * S, 2, behaviour="silent"),
        Fault("slow", 11 * S, 4 * S, 3, factor=9.0),
    )),
    Scenario("streams-without-cancel", 123,
        _settings(lanes=[LANES[5], LANES[0]], bounds={"mayCancel": False}),
        servers=6, lane_weights=(3.0, 1.0), disconnect_rate=0.1, duration_us=10 * S, repeated_end_rate=0.02,
        faults=(
        Fault("behaviour", 3 * S, 3 * S, 2, behaviour="silent"),
        Fault("slow", 7 * S, 2 * S, 3, factor=9.0),
    )),
    Scenario("many-instances", 116,
        _settings(realms=TENANTS, worthBy="work", weights="nominal", report=REPORTS),
        servers=15, instances=6, group_size=6, zones=ZONES[:2], sizes=(1.0, 2.0, 6.0), lists_sizes=True,
        arrivals_per_s=240.0, duration_us=11 * S, unnamed_class_rate=0.02, faults=(
        Fault("restart_instance", 3 * S, 1 * S),
        Fault("down", 4 * S, 2 * S, 5),
        Fault("burst", 7 * S, 2 * S, factor=3.0),
        Fault("unreachable", 9 * S, 2 * S, zone="west"),
    )),
    Scenario("trickle", 117, _settings(bounds={"sendCap": 1}), servers=20, arrivals_per_s=3.0,
        duration_us=200 * S, faults=(
        Fault("down", 30 * S, 20 * S, 6),
        Fault("behaviour", 80 * S, 20 * S, 8, behaviour="silent"),
        Fault("behaviour", 130 * S, 20 * S, 4),
    )),
    Scenario("keyed-only", 118, _settings(lanes=LANES[2:5], guarantees={"drainGraceUs": 0}), servers=9,
        zones=ZONES, lane_weights=(1.0, 1.0, 1.0), faults=(
        Fault("behaviour", 3 * S, 4 * S, 4, behaviour="dropped"),
        Fault("behaviour", 9 * S, 4 * S, 3, behaviour="silent"),
        Fault("unreachable", 15 * S, 3 * S, zone="east"),
    )),
    Scenario("long-outage", 124, _settings(lanes=LANES[:1]), servers=8, arrivals_per_s=30.0,
        duration_us=60 * S, lane_weights=(1.0,), faults=(
        Fault("behaviour", 2 * S, 50 * S, 3),
        Fault("unreachable", 10 * S, 45 * S, 1),
    )),
    Scenario("many-silent", 125, _settings(), servers=17, arrivals_per_s=330.0, work_us=40 * MS,
        duration_us=6 * S, faults=(Fault("behaviour", 2 * S, 3 * S, 8, behaviour="silent"),)),
    Scenario("far-zones-busy", 126, _settings(prices=CROSSINGS), servers=12, zones=ZONES,
        arrivals_per_s=100.0, work_us=40 * MS, work_factors=EVEN, duration_us=8 * S, faults=(
        Fault("slow", 3 * S, 2 * S, zone="east", factor=1.2),
        Fault("slow", 6 * S, 1 * S, factor=1.3),
    )),
    Scenario("slow-by-nature", 127, _settings(), servers=6, arrivals_per_s=30.0, work_us=140 * MS,
        work_factors=EVEN, duration_us=20 * S, queue_per_size=100.0, faults=(
        Fault("burst", 5 * S, 5 * S, factor=4.0),
        Fault("burst", 14 * S, 3 * S, factor=6.0),
    )),
    Scenario("few-in-flight", 128, _settings(report=REPORTS), servers=2, arrivals_per_s=24.0, work_us=60 * MS,
        duration_us=40 * S, queue_per_size=100.0, faults=(
        Fault("burst", 8 * S, 6 * S, factor=2.5),
        Fault("slow", 20 * S, 8 * S, 1, factor=4.0),
        Fault("burst", 32 * S, 4 * S, factor=4.0),
    )),
    Scenario("exclusions", 201, _settings(guarantees={"letGoInUs": 500 * MS}), servers=6, duration_us=30 * S,
        is_direct=True, streamed_body_rate=0.2, zones=ZONES[:2], faults=(
        Fault("exclude", 3 * S, 3 * S, 2),
        Fault("behaviour", 7 * S, 6 * S, 2),
        Fault("exclude", 8 * S, 4 * S, 4),
        Fault("down", 16 * S, 3 * S, 2),
        Fault("exclude", 17 * S, 4 * S, 3),
        Fault("behaviour", 22 * S, 5 * S, 4, behaviour="silent"),
        Fault("exclude", 23 * S, 100 * MS, 4),
        Fault("exclude", 24 * S, 100 * MS),
        Fault("exclude", 25 * S, 2 * S),
        Fault("unasked", 28 * S),
    )),
    Scenario("uploads", 202, _settings(report=REPORTS), servers=8, is_direct=True, streamed_body_rate=0.6,
        disconnect_rate=0.05, faults=(
        Fault("behaviour", 3 * S, 4 * S, 3, behaviour="dropped"),
        Fault("behaviour", 8 * S, 4 * S, 2, behaviour="silent"),
        Fault("burst", 13 * S, 3 * S, factor=4.0),
        Fault("down", 16 * S, 2 * S, 3),
        Fault("behaviour", 18 * S, 1 * S, behaviour="shed"),
    )),
    Scenario("tier-sizes", 203, _settings(prices=CROSSINGS), servers=12, instances=3, group_size=30,
        is_direct=True, zones=ZONES, duration_us=24 * S, call_failure_rate=0.3, faults=(
        Fault("tier", 1 * S, factor=30),
        Fault("discovery", 3 * S, 6 * S),
        Fault("tier", 2 * S, factor=12),
        Fault("unreachable", 10 * S, 4 * S, zone="west"),
        Fault("tier", 11 * S, factor=24),
        Fault("down", 16 * S, 2 * S, 4),
        Fault("restart_instance", 20 * S, 1 * S),
    )),
    Scenario("trickle-excluded", 204, _settings(bounds=CAUTIOUS), servers=10, arrivals_per_s=4.0,
        duration_us=150 * S, is_direct=True, streamed_body_rate=0.1, faults=(
        Fault("exclude", 10 * S, 15 * S, 5),
        Fault("down", 40 * S, 10 * S, 5),
        Fault("exclude", 45 * S, 3 * S, 4),
        Fault("drain", 80 * S, 10 * S, 4),
        Fault("exclude", 100 * S, 5 * S, 8),
        Fault("behaviour", 115 * S, 20 * S, 8, behaviour="silent"),
        Fault("exclude", 117 * S, 500 * MS),
        Fault("exclude", 121 * S, 500 * MS),
        Fault("drain", 122 * S, 8 * S, 6),
    )),
)  # fmt: skip
