"""What both engines stand on, without I/O: queueing servers, links and the catalog."""

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


def make_run(troubles: str = "", base: str = BASE) -> ScenarioRun:
    return draw_run(parse_scenario(base + troubles, "ground"), 1)


def fault_table(kind: str, at: float, length: float, **more: object) -> str:
    given = {"kind": kind, "at_s": at, "for_s": length, **more}
    lines = "".join(
        f"{key} = {str(value).lower() if isinstance(value, bool) else repr(value)}\n"
        for key, value in given.items()
    )
    return f"[[troubles]]\n{lines}"


def test_queueing_server_serves_queues_and_rejects() -> None:
    server = QueueingServer(make_run().servers[0])
    jobs = [Job(number, 100, 0.5) for number in range(4)]
    assert [server.offer(0, each) for each in jobs] == [
        OfferResult.IN_SERVICE,
        OfferResult.IN_SERVICE,
        OfferResult.QUEUED,
        OfferResult.FULL,
    ]
    well, after = server.complete(100, jobs[0])
    assert well and after is jobs[2] and after.ends_at == 200


def test_queueing_server_loses_its_jobs_and_starts_slowly_after_a_restart() -> None:
    server = QueueingServer(make_run().servers[0])
    job = Job(1, 100, 0.5)
    server.offer(0, job)
    assert server.restart(5 * S) == [job] and not server.is_serving(job)
    assert server.speed(5 * S) == pytest.approx(0.5)
    assert server.speed(10 * S) == pytest.approx(0.75) and server.speed(15 * S) == 1.0


def test_crowding_slowness_and_errors_take_their_part() -> None:
    crowded = BASE.replace("queue = 1", "queue = 9\ncrowd_from = 2\ncrowd_loss = 0.5")
    troubles = fault_table("slow", 10, 5, who=["server:0"], amount=0.25) + fault_table(
        "errors", 20, 5, who=["server:0"], amount=0.3
    )
    day = make_run(troubles, crowded)
    server = QueueingServer(day.servers[0], day.faults)
    assert server.speed(0) == 1.0 and server.speed(12 * S) == 0.25 and server.speed(15 * S) == 1.0
    assert server.error_rate(0) == 0.0 and server.error_rate(21 * S) == 0.3
    for number in range(4):
        server.offer(0, Job(number, 100, 0.5))
    assert server.speed(0) == pytest.approx(0.5)


def _mean_wait(slots: int, load: float, jobs: int) -> float:
    """The mean wait before service, in mean service times, of a queueing server with Poisson arrivals."""
    base = BASE.replace("slots = 2", f"slots = {slots}").replace("queue = 1", "queue = 1000000")
    server = QueueingServer(make_run(base=base).servers[0])
    draw_ = random.Random(3)
    mean, now, waited = 1_000_000, 0.0, 0.0
    came: dict[int, int] = {}
    ends: list[tuple[int, int, Job]] = []

    def begins(job: Job) -> float:
        heapq.heappush(ends, (job.ends_at, job.attempt, job))
        return job.ends_at - job.work_us - came[job.attempt]

    for number in range(jobs):
        now += draw_.expovariate(load * slots / mean)
        while ends and ends[0][0] <= now:
            at, _, done = heapq.heappop(ends)
            _, after = server.complete(at, done)
            waited += begins(after) if after is not None else 0.0
        job = Job(number, max(round(draw_.expovariate(1 / mean)), 1), 0.5)
        came[number] = round(now)
        if server.offer(round(now), job) is OfferResult.IN_SERVICE:
            begins(job)
    return waited / jobs / mean


def test_waits_are_those_of_mm1_and_mmc() -> None:
    assert _mean_wait(1, 0.5, 400_000) == pytest.approx(1.0, rel=0.03)  # load / (1 - load)
    # Erlang's C for 4 slots at 0.7 is 0.4287, over 4 x (1 - 0.7).
    assert _mean_wait(4, 0.7, 400_000) == pytest.approx(0.4287 / 1.2, rel=0.03)


def test_delays_add_up_over_zones_and_regions() -> None:
    links = Links(make_run())
    assert links.between("copy:0", "server:0").arrival(0) == 1_000
    assert links.between("copy:0", "server:1").arrival(0) == 7_000
    assert links.between("copy:1", "discovery").arrival(5) == 1_005


def test_a_cut_one_way_holds_bytes_and_loses_datagrams() -> None:
    links = Links(make_run(fault_table("cut", 1, 2, between=["copy:0"], to=["copy:1"], both_ways=False)))
    there, back = links.between("copy:0", "copy:1"), links.between("copy:1", "copy:0")
    assert there.is_cut(1 * S) and not there.is_cut(3 * S) and not back.is_cut(2 * S)
    assert there.arrival(2 * S) == 3 * S + 7_000 and back.arrival(2 * S) == 2 * S + 7_000
    assert (
        there.datagram_arrivals(2 * S, (0.9, 0.9, 0.9)) == []
        and len(back.datagram_arrivals(2 * S, (0.9, 0.9, 0.9))) == 1
    )


def test_held_back_datagrams_come_when_the_hold_ends() -> None:
    link = Links(make_run(fault_table("hold", 1, 30, between=["copy:0"], to=["copy:1"]))).between(
        "copy:0", "copy:1"
    )
    assert link.datagram_arrivals(2 * S, (0.9, 0.9, 0.9)) == [31 * S + 7_000]


def test_one_fault_that_ends_while_another_holds_frees_nothing() -> None:
    two = fault_table("cut", 1, 5, between=["copy:0"], to=["copy:*"]) + fault_table(
        "cut", 4, 6, between=["copy:0"], to=["copy:1"]
    )
    link = Links(make_run(two)).between("copy:0", "copy:1")
    assert link.is_cut(7 * S) and link.arrival(2 * S) == 10 * S + 7_000


def test_a_cut_without_an_end_lets_nothing_through() -> None:
    link = Links(make_run(fault_table("cut", 1, 0, between=["copy:0"], to=["copy:1"]))).between(
        "copy:0", "copy:1"
    )
    assert link.arrival(2 * S) == NEVER and link.datagram_arrivals(2 * S, (0.9, 0.9, 0.9)) == []


def test_datagrams_are_lost_doubled_and_reordered_by_their_chances() -> None:
    text = "".join(
        fault_table(kind, 0.001, 50, between=["copy:0"], to=["copy:1"], amount=0.5)
        for kind in ("loss", "double", "reorder")
    )
    link = Links(make_run(text)).between("copy:0", "copy:1")
    assert link.datagram_arrivals(S, (0.4, 0.9, 0.9)) == []
    assert len(link.datagram_arrivals(S, (0.6, 0.4, 0.9))) == 2
    later = link.datagram_arrivals(S, (0.6, 0.9, 0.4))[0]
    assert later > link.datagram_arrivals(S + 10_000, (0.6, 0.9, 0.9))[0]


def test_a_silent_machine_is_cut_off_from_every_copy() -> None:
    links = Links(make_run(fault_table("silent", 1, 2, who=["server:1"])))
    assert links.between("copy:0", "server:1").is_cut(2 * S) and links.between("server:1", "copy:1").is_cut(
        2 * S
    )
    assert not links.between("copy:0", "server:0").is_cut(2 * S)


def test_the_catalog_tells_crashes_and_drains_late() -> None:
    text = fault_table("crash", 1, 2, who=["server:0"]) + fault_table("drain", 5, 2, who=["server:1"])
    catalog = EndpointCatalog(make_run(text))
    assert [(each.at_us, each.server, each.state, each.started_at_us) for each in catalog.changes] == [
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
    assert [each.server for each in catalog.full_list(2)] == [1]
    assert [(each.server, each.state) for each in catalog.changes_between(1, 4)] == [
        (0, "active"),
        (1, "leaving"),
    ]


def test_late_discovery_tells_later() -> None:
    text = fault_table("discovery_late", 0.5, 10, amount=2_000) + fault_table("crash", 1, 2, who=["server:0"])
    assert [each.at_us for each in EndpointCatalog(make_run(text)).changes] == [3_100_000, 5_100_000]
