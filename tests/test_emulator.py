"""The emulator: runs with real sidecar processes and faults, and the switch on real connections."""

from __future__ import annotations

import asyncio
import json
import random
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from loopback import WAIT_TIMEOUT_S, run_async, wait_until, within_timeout
from test_testbed_models import fault_table, make_run

from testbed import events as log
from testbed.checker import check_invariants
from testbed.clock import RunClock
from testbed.emulator.play import RunOptions, run_scenario
from testbed.emulator.replica_process import ReplicaProcess, RunError
from testbed.emulator.shard import Plan
from testbed.emulator.switch import Gate, Handler, SwitchConnection
from testbed.links import Links
from testbed.scenario import ScenarioRun, draw_arrivals, draw_run, read_scenario

ROOT = Path(__file__).parent.parent
PROGRAM = f"exec {sys.executable} -m sidecar"
GRACE_US = 15_000_000  # how long after its timeout a response may arrive on a busy machine
S = 1_000_000


def run_options(folder: Path, command: str = PROGRAM, **options: Any) -> RunOptions:
    return RunOptions(folder=folder, root=ROOT, command=command, grace_us=GRACE_US, **options)


def processes_with_folder(folder: Path) -> list[int]:
    """IDs of the processes that have this folder in their environment."""
    pids = []
    for process in Path("/proc").iterdir():
        if process.name.isdecimal():
            try:
                if str(folder).encode() in (process / "environ").read_bytes():
                    pids.append(int(process.name))
            except OSError:
                pass
    return pids


def run_and_load(run: ScenarioRun, folder: Path, **options: Any) -> list[log.Event]:
    return log.load(asyncio.run(run_scenario(run, run_options(folder, **options))))


def test_run_with_a_cut_and_a_killed_replica_keeps_all_invariants(tmp_path: Path) -> None:
    run = draw_run(read_scenario("three-copies"), 1)
    events = run_and_load(run, tmp_path)
    verdict = check_invariants(events, slack_us=GRACE_US)
    assert verdict.violations == () and verdict.is_complete
    logged_arrivals = {
        event.client_request for event in events if isinstance(event, log.RequestSent | log.RequestNotSent)
    }
    assert logged_arrivals == {arrival.number for arrival in draw_arrivals(run)}
    served = [event for event in events if isinstance(event, log.ResponseReceived) and event.status == 200]
    assert len(served) > len(logged_arrivals) / 2
    states = [
        (event.replica, event.incarnation, event.state)
        for event in events
        if isinstance(event, log.ReplicaStateChanged) and event.at_us > 0
    ]
    assert states == [(1, 1, "killed"), (1, 2, "started"), (1, 2, "ready")]
    faults = [(event.fault_number, event.begins) for event in events if isinstance(event, log.FaultChanged)]
    assert sorted(faults) == [(number, begins) for number in range(3) for begins in (False, True)]
    cut_times = [
        event.at_us for event in events if isinstance(event, log.FaultChanged) and event.fault_number == 0
    ]
    delivery_times = [
        event.at_us
        for event in events
        if isinstance(event, log.EndpointListDelivered) and event.replica == 0 and event.at_us > 0
    ]
    assert delivery_times and not any(cut_times[0] < at < cut_times[1] for at in delivery_times)
    assert processes_with_folder(tmp_path) == []


FABRICATING_PROGRAM = """
import http.server, json, os, socketserver
class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    def do_GET(self):
        self.send_response(200); self.send_header("Content-Length", "3"); self.end_headers()
        self.wfile.write(b"lie")
    do_POST = do_GET
host, port = json.load(open(os.environ["BALANCER_CONFIG"]))["listen"].split(":")
Server((host, int(port)), Handler).serve_forever()
"""


def test_fabricated_responses_are_reported_as_violations(tmp_path: Path) -> None:
    (tmp_path / "program.py").write_text(FABRICATING_PROGRAM)
    run = make_run(base=small_scenario())
    events = log.load(
        asyncio.run(
            run_scenario(run, run_options(tmp_path / "day", f"exec {sys.executable} {tmp_path}/program.py"))
        )
    )
    violations = check_invariants(events, slack_us=GRACE_US).violations
    assert violations and {violation.invariant for violation in violations} == {"foreign"}


def small_scenario() -> str:
    return """
name = "small"
seconds = 1
[[classes]]
name = "look"
[[servers]]
count = 1
[sidecars]
count = 2
[clients]
rate_per_s = 20
"""


@pytest.mark.parametrize(
    ("command", "message"),
    [
        ("echo no such luck >&2; exit 3", "exited with code 3: no such luck"),
        ("exec sleep 60", "was not ready within"),
    ],
    ids=["dies at once", "never ready"],
)
def test_replica_that_does_not_get_ready_fails_the_run_and_leaves_no_process(
    command: str, message: str, tmp_path: Path
) -> None:
    with pytest.raises(RunError, match=message):
        asyncio.run(
            run_scenario(make_run(base=small_scenario()), run_options(tmp_path, command, ready_within_s=1.0))
        )
    assert processes_with_folder(tmp_path) == []


def test_run_that_is_too_large_is_rejected_before_anything_starts(tmp_path: Path) -> None:
    run = make_run(base=small_scenario().replace("count = 2", "count = 200"))
    with pytest.raises(RunError, match="use the model"):
        asyncio.run(run_scenario(run, run_options(tmp_path / "day")))
    assert not (tmp_path / "day").exists()


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGKILL])
def test_no_process_remains_after_the_runner_is_killed(signal_number: int, tmp_path: Path) -> None:
    script = (
        "import asyncio, sys; sys.path.insert(0, 'tests')\n"
        "from pathlib import Path\n"
        "from test_emulator import make_run, run_options, run_scenario, small_scenario\n"
        "run = make_run(base=small_scenario().replace('seconds = 1', 'seconds = 300'))\n"
        f"asyncio.run(run_scenario(run, run_options(Path({str(tmp_path)!r}))))\n"
    )
    runner = subprocess.Popen([sys.executable, "-c", script], cwd=ROOT, stderr=subprocess.DEVNULL)
    part = tmp_path / "part-load-0.jsonl"

    async def work() -> None:
        await wait_until(lambda: part.exists() and len(processes_with_folder(tmp_path)) == 2)
        runner.send_signal(signal_number)
        await wait_until(lambda: runner.poll() is not None)
        await wait_until(lambda: processes_with_folder(tmp_path) == [])

    run_async(work)
    assert check_invariants(log.load(tmp_path)).label == "cut off"


# The switch, on real connections


class Echo:
    """A party that sends back the bytes that it receives."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.connections: list[SwitchConnection] = []

    def connected(self, replica: int, connection: SwitchConnection) -> Handler:
        self.connections.append(connection)
        return _EchoHandler(self, connection)


class _EchoHandler:
    def __init__(self, echo: Echo, connection: SwitchConnection) -> None:
        self._echo, self._connection = echo, connection

    def received(self, data: bytes) -> None:
        self._echo.received.append(data)
        self._connection.send(data)

    def closed(self) -> None:
        self._echo.received.append(b"end")


class FakeClock(RunClock):
    """A clock that a test sets; every wait takes 5 ms."""

    def __init__(self) -> None:
        super().__init__(0)
        self.at = 0

    def now(self) -> int:
        return self.at

    def wait_s(self, at: int) -> float:
        return 0.005


def run_on_switch(
    faults: str, work: Callable[[FakeClock, Gate, Echo, tuple[str, int]], Awaitable[None]]
) -> None:
    async def run_work() -> None:
        links, clock, echo = Links(make_run(faults, BASE)), FakeClock(), Echo()
        inwards, outwards = links.between("copy:0", "server:0"), links.between("server:0", "copy:0")
        gate = Gate(clock, 0, echo, inwards, outwards, random.Random(1))
        host, port = gate.bind("127.16.0.1").split(":")
        gate.start()
        try:
            await work(clock, gate, echo, (host, int(port)))
        finally:
            gate.close()

    run_async(run_work)


BASE = small_scenario()
CUT = fault_table("cut", 0.5, 0.25, between=["copy:0"], to=["server:0"])


def test_switch_forwards_bytes_and_the_end_of_a_connection() -> None:
    async def work(clock: FakeClock, gate: Gate, echo: Echo, address: tuple[str, int]) -> None:
        reader, writer = await within_timeout(asyncio.open_connection(*address))
        writer.write(b"hello")
        assert await within_timeout(reader.readexactly(5)) == b"hello"
        writer.close()
        await wait_until(lambda: echo.received == [b"hello", b"end"])
        assert not gate.connections

    run_on_switch("", work)


def test_connection_is_not_established_while_the_link_is_cut() -> None:
    async def work(clock: FakeClock, gate: Gate, echo: Echo, address: tuple[str, int]) -> None:
        clock.at = 600_000
        gate.update_listener()
        connecting = asyncio.ensure_future(asyncio.open_connection(*address))
        await asyncio.sleep(0.2)
        assert not connecting.done() and echo.connections == []
        clock.at = 800_000
        gate.update_listener()
        _, writer = await within_timeout(connecting)
        await wait_until(lambda: len(echo.connections) == 1)
        writer.close()

    run_on_switch(CUT, work)


def test_bytes_sent_during_a_cut_arrive_after_it() -> None:
    async def work(clock: FakeClock, gate: Gate, echo: Echo, address: tuple[str, int]) -> None:
        reader, writer = await within_timeout(asyncio.open_connection(*address))
        await wait_until(lambda: len(echo.connections) == 1)
        clock.at = 600_000
        gate.update_listener()
        writer.write(b"late")
        await asyncio.sleep(0.05)
        assert echo.received == []
        clock.at = 800_000
        gate.update_listener()
        assert await within_timeout(reader.readexactly(4)) == b"late"
        writer.close()

    run_on_switch(CUT, work)


def test_gate_that_is_down_resets_and_refuses_connections_until_it_is_up() -> None:
    async def work(clock: FakeClock, gate: Gate, echo: Echo, address: tuple[str, int]) -> None:
        reader, writer = await within_timeout(asyncio.open_connection(*address))
        await wait_until(lambda: len(echo.connections) == 1)
        gate.down()
        with pytest.raises(ConnectionResetError):
            await within_timeout(reader.read(1))
        writer.close()
        with pytest.raises(ConnectionRefusedError):
            await within_timeout(asyncio.open_connection(*address))
        gate.up()
        _, writer = await within_timeout(asyncio.open_connection(*address))
        writer.close()

    run_on_switch("", work)


def test_reset_fault_cuts_a_response_in_the_middle() -> None:
    async def work(clock: FakeClock, gate: Gate, echo: Echo, address: tuple[str, int]) -> None:
        clock.at = 600_000
        with socket.create_connection(address, WAIT_TIMEOUT_S) as client_socket:
            client_socket.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(client_socket, b"answer")
            received = b""

            async def receive_forever() -> None:
                nonlocal received
                while True:
                    received += await within_timeout(loop.sock_recv(client_socket, 16))

            with pytest.raises(ConnectionResetError):
                await receive_forever()
            assert received in (b"", b"ans")  # a reset may discard bytes that were sent before it

    run_on_switch(fault_table("reset", 0.5, 0.25, between=["copy:0"], to=["server:0"], amount=1.0), work)


ALL_PROCESS_FAULTS = (
    fault_table("upgrade", 0.5, 0, who=["copy:0"])
    + fault_table("pause", 0.5, 1, who=["copy:1"])
    + fault_table("full", 0.3, 2, who=["copy:0"])
    + fault_table("read_only", 0.3, 1, who=["copy:2"])
    + fault_table("term", 1.5, 0, who=["copy:2"])
    + fault_table("damaged", 2, 0.2, who=["copy:1"])
    + fault_table("clock", 2.2, 0, who=["copy:0"], amount=-3600.0)
    + fault_table("hup", 2.5, 0, who=["copy:*"])
    + fault_table("silent", 0.5, 1, who=["server:0"])
    + fault_table("drain", 1, 1, who=["server:1"])
    + fault_table("discovery_down", 1, 1)
)


def test_all_process_faults_in_one_run_keep_all_invariants(tmp_path: Path) -> None:
    base = small_scenario().replace("seconds = 1", "seconds = 4").replace("count = 1", "count = 4")
    run = make_run(ALL_PROCESS_FAULTS, base.replace("count = 2", "count = 3\noperated = true"))
    events = run_and_load(run, tmp_path)
    verdict = check_invariants(events, slack_us=GRACE_US)
    assert verdict.violations == () and verdict.is_complete
    states_seen = [
        (event.replica, event.state)
        for event in events
        if isinstance(event, log.ReplicaStateChanged) and event.at_us > 0
    ]
    assert {(0, "stopping"), (0, "killed"), (1, "paused"), (1, "killed"), (2, "stopping")} <= set(states_seen)
    for replica, incarnation_count in ((0, 3), (1, 2), (2, 2)):
        incarnations = {
            event.incarnation
            for event in events
            if isinstance(event, log.ReplicaStateChanged) and event.replica == replica
        }
        assert incarnations == set(range(1, incarnation_count + 1))
    replicas_with_metrics = {
        event.replica for event in events if isinstance(event, log.MetricsReported) and event.listed_endpoints
    }
    assert replicas_with_metrics == {0, 1, 2}
    assert processes_with_folder(tmp_path) == []


def test_run_that_needs_too_many_descriptors_is_rejected(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda which: (128, 200))
    with pytest.raises(RunError, match="descriptors, and this user may have 200"):
        asyncio.run(run_scenario(make_run(base=small_scenario()), run_options(tmp_path / "day")))


def test_close_ends_both_processes_of_an_upgrade(tmp_path: Path) -> None:
    async def work() -> None:
        with log.EventLogWriter(tmp_path / "part.jsonl") as writer:
            run, clock = make_run(base=small_scenario()), RunClock()
            rng, folder = random.Random(1), tmp_path / "copy"
            replica = ReplicaProcess(
                run, run.replicas[0], "exec sleep 600", ROOT, folder, clock, writer, rng, 1.0
            )
            replica.configure("127.0.0.1:9", [], "")
            for incarnation in (1, 2):
                with pytest.raises(RunError, match="not ready"):
                    await replica.start()
                assert replica.incarnation == incarnation
            assert len(processes_with_folder(tmp_path)) == 2
            await replica.close()

    run_async(work)
    assert processes_with_folder(tmp_path) == []


def test_shard_plan_keeps_its_field_names_in_json() -> None:
    plan = Plan(make_run(), 0, 2, "part-servers-0.jsonl")
    encoded = msgspec.json.encode(plan)
    assert list(json.loads(encoded)) == ["day", "shard", "shards", "part"]
    assert msgspec.json.decode(encoded, type=Plan) == plan
