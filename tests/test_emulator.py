"""Real copies of the program with faults between them, and what the switch does to real connections."""

from __future__ import annotations

import asyncio
import random
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from loopback import WAIT_TIMEOUT_S, run_async, wait_until, within_timeout
from test_testbed_models import fault_table, make_run

from testbed import events as log
from testbed.checker import check_invariants
from testbed.clock import RunClock
from testbed.emulator.play import RunOptions, run_scenario
from testbed.emulator.replica_process import ReplicaProcess, RunError
from testbed.emulator.switch import Gate, Handler, Passage
from testbed.links import Links
from testbed.scenario import ScenarioRun, draw_arrivals, draw_run, read_scenario

ROOT = Path(__file__).parent.parent
PROGRAM = f"exec {sys.executable} -m sidecar"
GENEROUS_US = 15_000_000  # how long past its time an answer may come on a busy machine
S = 1_000_000


def ground(folder: Path, command: str = PROGRAM, **how: Any) -> RunOptions:
    return RunOptions(folder=folder, root=ROOT, command=command, grace_us=GENEROUS_US, **how)


def running_below(folder: Path) -> list[int]:
    """Processes that were told of this folder."""
    out = []
    for each in Path("/proc").iterdir():
        if each.name.isdecimal():
            try:
                if str(folder).encode() in (each / "environ").read_bytes():
                    out.append(int(each.name))
            except OSError:
                pass
    return out


def played(day: ScenarioRun, folder: Path, **how: Any) -> list[log.Event]:
    return log.load(asyncio.run(run_scenario(day, ground(folder, **how))))


def test_three_copies_one_cut_off_and_one_killed_in_the_middle(tmp_path: Path) -> None:
    day = draw_run(read_scenario("three-copies"), 1)
    events = played(day, tmp_path)
    verdict = check_invariants(events, slack_us=GENEROUS_US)
    assert verdict.violations == () and verdict.is_complete
    asked = {each.client_request for each in events if isinstance(each, log.RequestSent | log.RequestNotSent)}
    assert asked == {each.number for each in draw_arrivals(day)}
    served = [each for each in events if isinstance(each, log.ResponseReceived) and each.status == 200]
    assert len(served) > len(asked) / 2
    lives = [
        (each.replica, each.incarnation, each.state)
        for each in events
        if isinstance(each, log.ReplicaStateChanged) and each.at_us > 0
    ]
    assert lives == [(1, 1, "killed"), (1, 2, "started"), (1, 2, "ready")]
    troubles = [(each.fault_number, each.begins) for each in events if isinstance(each, log.FaultChanged)]
    assert sorted(troubles) == [(number, begins) for number in range(3) for begins in (False, True)]
    cut = [each.at_us for each in events if isinstance(each, log.FaultChanged) and each.fault_number == 0]
    heard = [
        each.at_us
        for each in events
        if isinstance(each, log.EndpointListDelivered) and each.replica == 0 and each.at_us > 0
    ]
    assert heard and not any(cut[0] < at < cut[1] for at in heard)
    assert running_below(tmp_path) == []


LIAR = """
import http.server, json, os, socketserver
class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
class Liar(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    def do_GET(self):
        self.send_response(200); self.send_header("Content-Length", "3"); self.end_headers()
        self.wfile.write(b"lie")
    do_POST = do_GET
host, port = json.load(open(os.environ["BALANCER_CONFIG"]))["listen"].split(":")
Server((host, int(port)), Liar).serve_forever()
"""


def test_a_program_that_serves_what_no_server_made_is_found_out(tmp_path: Path) -> None:
    (tmp_path / "liar.py").write_text(LIAR)
    day = make_run(base=read_small())
    events = log.load(
        asyncio.run(run_scenario(day, ground(tmp_path / "day", f"exec {sys.executable} {tmp_path}/liar.py")))
    )
    found = check_invariants(events, slack_us=GENEROUS_US).violations
    assert found and {each.invariant for each in found} == {"foreign"}


def read_small() -> str:
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
    ("command", "told"),
    [
        ("echo no such luck >&2; exit 3", "ended with code 3: no such luck"),
        ("exec sleep 60", "was not ready within"),
    ],
    ids=["dies at once", "never ready"],
)
def test_a_copy_that_does_not_get_ready_is_told_and_nothing_stays(
    command: str, told: str, tmp_path: Path
) -> None:
    with pytest.raises(RunError, match=told):
        asyncio.run(run_scenario(make_run(base=read_small()), ground(tmp_path, command, ready_within_s=1.0)))
    assert running_below(tmp_path) == []


def test_too_large_a_day_is_refused_before_anything_starts(tmp_path: Path) -> None:
    day = make_run(base=read_small().replace("count = 2", "count = 200"))
    with pytest.raises(RunError, match="use the model"):
        asyncio.run(run_scenario(day, ground(tmp_path / "day")))
    assert not (tmp_path / "day").exists()


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGKILL])
def test_nothing_stays_when_the_player_is_ended(number: int, tmp_path: Path) -> None:
    script = (
        "import asyncio, sys; sys.path.insert(0, 'tests')\n"
        "from pathlib import Path\n"
        "from test_emulator import make_run, ground, run_scenario, read_small\n"
        "day = make_run(base=read_small().replace('seconds = 1', 'seconds = 300'))\n"
        f"asyncio.run(run_scenario(day, ground(Path({str(tmp_path)!r}))))\n"
    )
    player = subprocess.Popen([sys.executable, "-c", script], cwd=ROOT, stderr=subprocess.DEVNULL)
    part = tmp_path / "part-load-0.jsonl"

    async def work() -> None:
        await wait_until(lambda: part.exists() and len(running_below(tmp_path)) == 2)
        player.send_signal(number)
        await wait_until(lambda: player.poll() is not None)
        await wait_until(lambda: running_below(tmp_path) == [])

    run_async(work)
    assert check_invariants(log.load(tmp_path)).label == "cut off"


# The switch, on real connections


class Echo:
    """A party that sends back what it gets."""

    def __init__(self) -> None:
        self.heard: list[bytes] = []
        self.passages: list[Passage] = []

    def connected(self, copy: int, passage: Passage) -> Handler:
        self.passages.append(passage)
        return _Ear(self, passage)


class _Ear:
    def __init__(self, echo: Echo, passage: Passage) -> None:
        self._echo, self._passage = echo, passage

    def received(self, data: bytes) -> None:
        self._echo.heard.append(data)
        self._passage.send(data)

    def ended(self) -> None:
        self._echo.heard.append(b"end")


class FakeClock(RunClock):
    """A clock that a test sets; waits are short."""

    def __init__(self) -> None:
        super().__init__(0)
        self.at = 0

    def now(self) -> int:
        return self.at

    def wait_s(self, at: int) -> float:
        return 0.005


def on_the_switch(
    troubles: str, work: Callable[[FakeClock, Gate, Echo, tuple[str, int]], Awaitable[None]]
) -> None:
    async def whole() -> None:
        links, clock, echo = Links(make_run(troubles, NEAR)), FakeClock(), Echo()
        inwards, outwards = links.between("copy:0", "server:0"), links.between("server:0", "copy:0")
        gate = Gate(clock, 0, echo, inwards, outwards, random.Random(1))
        host, port = gate.bind("127.16.0.1").split(":")
        gate.start()
        try:
            await work(clock, gate, echo, (host, int(port)))
        finally:
            gate.close()

    run_async(whole)


NEAR = read_small()
CUT = fault_table("cut", 0.5, 0.25, between=["copy:0"], to=["server:0"])


def test_bytes_pass_and_the_end_is_told() -> None:
    async def work(clock: FakeClock, gate: Gate, echo: Echo, address: tuple[str, int]) -> None:
        reader, writer = await within_timeout(asyncio.open_connection(*address))
        writer.write(b"hello")
        assert await within_timeout(reader.readexactly(5)) == b"hello"
        writer.close()
        await wait_until(lambda: echo.heard == [b"hello", b"end"])
        assert not gate.passages

    on_the_switch("", work)


def test_a_connection_never_comes_up_while_the_link_is_cut() -> None:
    async def work(clock: FakeClock, gate: Gate, echo: Echo, address: tuple[str, int]) -> None:
        clock.at = 600_000
        gate.follow()
        knocking = asyncio.ensure_future(asyncio.open_connection(*address))
        await asyncio.sleep(0.2)
        assert not knocking.done() and echo.passages == []
        clock.at = 800_000
        gate.follow()
        _, writer = await within_timeout(knocking)
        await wait_until(lambda: len(echo.passages) == 1)
        writer.close()

    on_the_switch(CUT, work)


def test_what_is_sent_into_a_cut_arrives_after_it() -> None:
    async def work(clock: FakeClock, gate: Gate, echo: Echo, address: tuple[str, int]) -> None:
        reader, writer = await within_timeout(asyncio.open_connection(*address))
        await wait_until(lambda: len(echo.passages) == 1)
        clock.at = 600_000
        gate.follow()
        writer.write(b"late")
        await asyncio.sleep(0.05)
        assert echo.heard == []
        clock.at = 800_000
        gate.follow()
        assert await within_timeout(reader.readexactly(4)) == b"late"
        writer.close()

    on_the_switch(CUT, work)


def test_a_dead_process_resets_and_refuses_until_it_is_up() -> None:
    async def work(clock: FakeClock, gate: Gate, echo: Echo, address: tuple[str, int]) -> None:
        reader, writer = await within_timeout(asyncio.open_connection(*address))
        await wait_until(lambda: len(echo.passages) == 1)
        gate.down()
        with pytest.raises(ConnectionResetError):
            await within_timeout(reader.read(1))
        writer.close()
        with pytest.raises(ConnectionRefusedError):
            await within_timeout(asyncio.open_connection(*address))
        gate.up()
        _, writer = await within_timeout(asyncio.open_connection(*address))
        writer.close()

    on_the_switch("", work)


def test_an_answer_is_reset_in_the_middle() -> None:
    async def work(clock: FakeClock, gate: Gate, echo: Echo, address: tuple[str, int]) -> None:
        clock.at = 600_000
        with socket.create_connection(address, WAIT_TIMEOUT_S) as own:
            own.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(own, b"answer")
            got = b""

            async def receive_forever() -> None:
                nonlocal got
                while True:
                    got += await within_timeout(loop.sock_recv(own, 16))

            with pytest.raises(ConnectionResetError):
                await receive_forever()
            assert got in (b"", b"ans")  # a reset may overtake what came before it

    on_the_switch(fault_table("reset", 0.5, 0.25, between=["copy:0"], to=["server:0"], amount=1.0), work)


EVERY_TROUBLE = (
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


def test_every_trouble_of_processes_at_once_keeps_the_rules(tmp_path: Path) -> None:
    base = read_small().replace("seconds = 1", "seconds = 4").replace("count = 1", "count = 4")
    day = make_run(EVERY_TROUBLE, base.replace("count = 2", "count = 3\noperated = true"))
    events = played(day, tmp_path)
    verdict = check_invariants(events, slack_us=GENEROUS_US)
    assert verdict.violations == () and verdict.is_complete
    said = [
        (each.replica, each.state)
        for each in events
        if isinstance(each, log.ReplicaStateChanged) and each.at_us > 0
    ]
    assert {(0, "stopping"), (0, "killed"), (1, "paused"), (1, "killed"), (2, "stopping")} <= set(said)
    for copy, lives in ((0, 3), (1, 2), (2, 2)):
        ready = {
            each.incarnation
            for each in events
            if isinstance(each, log.ReplicaStateChanged) and each.replica == copy
        }
        assert ready == set(range(1, lives + 1))
    doors = {
        each.replica for each in events if isinstance(each, log.MetricsReported) and each.listed_endpoints
    }
    assert doors == {0, 1, 2}
    assert running_below(tmp_path) == []


def test_a_day_that_needs_more_descriptors_than_there_may_be_is_refused(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda which: (128, 200))
    with pytest.raises(RunError, match="descriptors, and this user may have 200"):
        asyncio.run(run_scenario(make_run(base=read_small()), ground(tmp_path / "day")))


def test_both_processes_of_an_upgrade_are_ended_at_the_close(tmp_path: Path) -> None:
    async def work() -> None:
        with log.EventLogWriter(tmp_path / "part.jsonl") as writer:
            day, clock = make_run(base=read_small()), RunClock()
            rng, folder = random.Random(1), tmp_path / "copy"
            copy = ReplicaProcess(
                day, day.replicas[0], "exec sleep 600", ROOT, folder, clock, writer, rng, 1.0
            )
            copy.configure("127.0.0.1:9", [], "")
            for life in (1, 2):
                with pytest.raises(RunError, match="not ready"):
                    await copy.start()
                assert copy.life == life
            assert len(running_below(tmp_path)) == 2
            await copy.close()

    run_async(work)
    assert running_below(tmp_path) == []
