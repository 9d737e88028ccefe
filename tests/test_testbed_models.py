"""Parts that the simulation and the emulator share, without I/O: queueing server, links, endpoint catalog."""

from __future__ import annotations

import heapq
import random

import pytest

from testbed.catalog import EndpointCatalog
from testbed.links import NEVER, Links
from testbed.queueing_server import Job, OfferResult, QueueingServer
from testbed.scenario import ScenarioRun, draw_run
from testbed.scenario.read import parse_scenario

S = 1_000_000
BASE = """
name = "ground"
seconds = 60
[[classes]]
name = "look"
[[zones]]
name = "east"
region = "north"
[[zones]]
name = "west"
region = "south"
[[servers]]
count = 2
slots = 2
queue = 1
cold_from = 0.5
cold_s = 10
[sidecars]
count = 2
[network]
delay_ms = 1
other_zone_ms = 2
other_region_ms = 4
[clients]
rate_per_s = 10
"""


def make_run(fault_tables: str = "", base: str = BASE) -> ScenarioRun:
    """Draw a run of a base scenario with faults, which are given as the text of their tables."""
    return draw_run(parse_scenario(base + fault_tables, "ground"), 1)


def fault_table(kind: str, start_s: float, duration_s: float, **keys: object) -> str:
    """Write the table of a fault for a scenario file."""
    table = {"kind": kind, "at_s": start_s, "for_s": duration_s, **keys}
    lines = "".join(
        f"{key} = {str(value).lower() if isinstance(value, bool) else repr(value)}\n"
        for key, value in table.items()
    )
    return f"[[troubles]]\n{lines}"


def test_server_processes_queues_and_rejects_requests() -> None:
    server = QueueingServer(make_run().servers[0])
    jobs = [Job(number, 100, 0.5) for number in range(4)]
    assert [server.offer(0, job) for job in jobs] == [
        OfferResult.IN_SERVICE,
        OfferResult.IN_SERVICE,
        OfferResult.QUEUED,
        OfferResult.FULL,
    ]
    succeeded, next_job = server.complete(100, jobs[0])
    assert succeeded and next_job is jobs[2] and next_job.ends_at == 200


def test_restarted_server_is_in_slow_start_and_loses_its_requests() -> None:
    server = QueueingServer(make_run().servers[0])
    job = Job(1, 100, 0.5)
    server.offer(0, job)
    assert server.restart(5 * S) == [job] and not server.is_serving(job)
    assert server.speed(5 * S) == pytest.approx(0.5)
    assert server.speed(10 * S) == pytest.approx(0.75) and server.speed(15 * S) == 1.0


def test_overload_slowness_and_errors_reduce_what_a_server_delivers() -> None:
    overloadable = BASE.replace("queue = 1", "queue = 9\ncrowd_from = 2\ncrowd_loss = 0.5")
    faults = fault_table("slow", 10, 5, who=["server:0"], amount=0.25) + fault_table(
        "errors", 20, 5, who=["server:0"], amount=0.3
    )
    run = make_run(faults, overloadable)
    server = QueueingServer(run.servers[0], run.faults)
    assert server.speed(0) == 1.0 and server.speed(12 * S) == 0.25 and server.speed(15 * S) == 1.0
    assert server.error_rate(0) == 0.0 and server.error_rate(21 * S) == 0.3
    for number in range(4):
        server.offer(0, Job(number, 100, 0.5))
    assert server.speed(0) == pytest.approx(0.5)


def _mean_wait(slots: int, load: float, jobs: int) -> float:
    """Return the mean wait for a slot, in mean service times, with random arrivals and service times."""
    base = BASE.replace("slots = 2", f"slots = {slots}").replace("queue = 1", "queue = 1000000")
    server = QueueingServer(make_run(base=base).servers[0])
    generator = random.Random(3)
    mean_us, now, total_wait_us = 1_000_000, 0.0, 0.0
    arrived_at: dict[int, int] = {}
    ends: list[tuple[int, int, Job]] = []

    def begin(job: Job) -> float:
        """Schedule the end of a job that got a slot; return how long it waited."""
        heapq.heappush(ends, (job.ends_at, job.attempt, job))
        return job.ends_at - job.work_us - arrived_at[job.attempt]

    for number in range(jobs):
        now += generator.expovariate(load * slots / mean_us)
        while ends and ends[0][0] <= now:
            end_at, _, ended = heapq.heappop(ends)
            _, next_job = server.complete(end_at, ended)
            total_wait_us += begin(next_job) if next_job is not None else 0.0
        job = Job(number, max(round(generator.expovariate(1 / mean_us)), 1), 0.5)
        arrived_at[number] = round(now)
        if server.offer(round(now), job) is OfferResult.IN_SERVICE:
            begin(job)
    return total_wait_us / jobs / mean_us


def test_mean_wait_is_that_of_mm1_and_mmc_queues() -> None:
    assert _mean_wait(1, 0.5, 400_000) == pytest.approx(1.0, rel=0.03)  # load / (1 - load)
    # Erlang C for 4 slots at a load of 0.7 is 0.4287; the wait is that over 4 x (1 - 0.7).
    assert _mean_wait(4, 0.7, 400_000) == pytest.approx(0.4287 / 1.2, rel=0.03)


def test_link_delays_of_zone_and_region_add_up() -> None:
    links = Links(make_run())
    assert links.between("copy:0", "server:0").arrival(0) == 1_000
    assert links.between("copy:0", "server:1").arrival(0) == 7_000
    assert links.between("copy:1", "discovery").arrival(5) == 1_005


def test_cut_in_one_direction_delays_bytes_and_loses_datagrams() -> None:
    links = Links(make_run(fault_table("cut", 1, 2, between=["copy:0"], to=["copy:1"], both_ways=False)))
    forward, reverse = links.between("copy:0", "copy:1"), links.between("copy:1", "copy:0")
    assert forward.is_cut(1 * S) and not forward.is_cut(3 * S) and not reverse.is_cut(2 * S)
    assert forward.arrival(2 * S) == 3 * S + 7_000 and reverse.arrival(2 * S) == 2 * S + 7_000
    assert forward.datagram_arrivals(2 * S, (0.9, 0.9, 0.9)) == []
    assert len(reverse.datagram_arrivals(2 * S, (0.9, 0.9, 0.9))) == 1


def test_held_datagrams_arrive_when_the_hold_ends() -> None:
    link = Links(make_run(fault_table("hold", 1, 30, between=["copy:0"], to=["copy:1"]))).between(
        "copy:0", "copy:1"
    )
    assert link.datagram_arrivals(2 * S, (0.9, 0.9, 0.9)) == [31 * S + 7_000]


def test_link_stays_cut_until_the_last_of_overlapping_cuts_ends() -> None:
    overlapping = fault_table("cut", 1, 5, between=["copy:0"], to=["copy:*"]) + fault_table(
        "cut", 4, 6, between=["copy:0"], to=["copy:1"]
    )
    link = Links(make_run(overlapping)).between("copy:0", "copy:1")
    assert link.is_cut(7 * S) and link.arrival(2 * S) == 10 * S + 7_000


def test_permanent_cut_delivers_nothing() -> None:
    link = Links(make_run(fault_table("cut", 1, 0, between=["copy:0"], to=["copy:1"]))).between(
        "copy:0", "copy:1"
    )
    assert link.arrival(2 * S) == NEVER and link.datagram_arrivals(2 * S, (0.9, 0.9, 0.9)) == []


def test_datagrams_are_lost_doubled_and_reordered_by_probability() -> None:
    faults = "".join(
        fault_table(kind, 0.001, 50, between=["copy:0"], to=["copy:1"], amount=0.5)
        for kind in ("loss", "double", "reorder")
    )
    link = Links(make_run(faults)).between("copy:0", "copy:1")
    assert link.datagram_arrivals(S, (0.4, 0.9, 0.9)) == []
    assert len(link.datagram_arrivals(S, (0.6, 0.4, 0.9))) == 2
    reordered = link.datagram_arrivals(S, (0.6, 0.9, 0.4))[0]
    assert reordered > link.datagram_arrivals(S + 10_000, (0.6, 0.9, 0.9))[0]


def test_silent_server_is_cut_off_from_every_replica() -> None:
    links = Links(make_run(fault_table("silent", 1, 2, who=["server:1"])))
    assert links.between("copy:0", "server:1").is_cut(2 * S) and links.between("server:1", "copy:1").is_cut(
        2 * S
    )
    assert not links.between("copy:0", "server:0").is_cut(2 * S)


def test_catalog_lists_crashes_and_drains_after_the_notification_delay() -> None:
    faults = fault_table("crash", 1, 2, who=["server:0"]) + fault_table("drain", 5, 2, who=["server:1"])
    catalog = EndpointCatalog(make_run(faults))
    assert [
        (change.at_us, change.server, change.state, change.started_at_us) for change in catalog.changes
    ] == [
        (1_100_000, 0, "left", None),
        (3_100_000, 0, "active", 3 * S),
        (5_100_000, 1, "leaving", None),
        (7_100_000, 1, "left", None),
    ]
    assert (
        catalog.version_at(0) == 1
        and catalog.version_at(1_100_000) == 2
        and catalog.next_change_at(8 * S) is None
    )
    assert [entry.server for entry in catalog.full_list(2)] == [1]
    assert [(entry.server, entry.state) for entry in catalog.changes_between(1, 4)] == [
        (0, "active"),
        (1, "leaving"),
    ]


def test_late_discovery_lists_changes_later() -> None:
    faults = fault_table("discovery_late", 0.5, 10, amount=2_000) + fault_table(
        "crash", 1, 2, who=["server:0"]
    )
    assert [change.at_us for change in EndpointCatalog(make_run(faults)).changes] == [3_100_000, 5_100_000]
