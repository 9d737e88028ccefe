"""One sidecar process beside its calls: `python -m bench.startup ready|memory|log|telemetry`.

`ready`: from exec to a 200 of `/_health`, with 1 to 100 processes started at once, by what discovery does.
`memory`: what a process holds by length of its list, at rest and after load.
`log`: bytes of log a second.  `telemetry`: bytes and processor time of a call for the figures, by length of
the list and by size of the tier (members that are configured and never answer).
"""

from __future__ import annotations

import argparse
import selectors
import socket
import tempfile
import time
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from bench.__main__ import SETTINGS
from bench.openloop import OpenLoop, answer_length
from bench.process import HOST, cpu_s, free_ports, resident_mb, wait_until_it_answers
from bench.sidecars import Started, behind, configuration, how_built, sidecar
from bench.spread import show, spread
from testbed.capacity.samples import FOLDER, Sample, save

AT_ONCE = (1, 8, 32, 100)
READY_SERVERS = 100  # listed, while processes start
READY_ROUNDS = 3
READY_WITHIN_S = 60.0
SIZES = (20, 100, 300, 750)
MEMBERS = (50, 100, 300, 750)
RATE = 293.0
LOG_S = 30.0
FIGURES = 200  # calls for them
PEER_PORT = 9  # of loopback addresses that nobody listens at: `discard`

Found = list[Sample]


# ---------------------------------------------------------------------------------------------------
# Ready


class _Unanswering:
    """Addresses of discovery that refuse, or take a call and stay silent."""

    def __init__(self) -> None:
        self._silent = socket.create_server((HOST, 0), backlog=256)  # never accepted: nothing comes back
        self.silent = int(self._silent.getsockname()[1])
        self._closed = socket.socket()
        self._closed.bind((HOST, 0))  # bound and not listening: refused
        self.down = int(self._closed.getsockname()[1])

    def close(self) -> None:
        self._silent.close()
        self._closed.close()


def ready_s(count: int, folder: Path, given: dict[str, object]) -> list[float]:
    """Start so many at once; the seconds from each one's start until it answers that it is well."""
    ports = free_ports(count)
    out: list[float] = []
    with ExitStack() as stack, selectors.DefaultSelector() as watched:
        for number, port in enumerate(ports):
            began = time.monotonic()
            own = {**given, "listen": f"{HOST}:{port}", "seed": f"{number + 1:x}"}
            started = stack.enter_context(sidecar(folder / str(number), own, piped=True))
            assert started.process.stderr is not None
            watched.register(started.process.stderr, selectors.EVENT_READ, (began, port))
        ends = time.monotonic() + READY_WITHIN_S
        while watched.get_map() and time.monotonic() < ends:
            for key, _ in watched.select(0.5):
                line = key.fileobj.readline()  # type: ignore[union-attr]
                began, port = key.data
                if not line:
                    raise RuntimeError("a sidecar ended in its start")
                if b" serves on " in line:
                    wait_until_it_answers(port, "/_health")
                    out.append(time.monotonic() - began)
                    watched.unregister(key.fileobj)
    if len(out) < count:
        raise TimeoutError(f"{count - len(out)} of {count} were not ready within {READY_WITHIN_S:.0f} s")
    return out


def ready(folder: Path, counts: Sequence[int] = AT_ONCE, rounds: int = READY_ROUNDS) -> Found:
    unanswering = _Unanswering()
    out: Found = []
    try:
        with behind([READY_SERVERS]) as stand:
            answering = stand.discovery[READY_SERVERS]
            cases = {
                "answering": (answering, "on_request"),
                "down": (unanswering.down, "on_request"),
                "silent, pushed": (unanswering.silent, "pushed"),
            }
            for case, (discovery, how) in cases.items():
                for count in counts:
                    found: list[float] = []
                    for number in range(rounds):
                        given = configuration(discovery, stand.servers, settings={"discovery": how})
                        found += ready_s(count, folder / f"{case}-{count}-{number}", given)
                    out += spread("ready.start_s", count, found, "s", case)
                    ordered = sorted(found)
                    p90 = ordered[min(int(len(ordered) * 0.9), len(ordered) - 1)]
                    out.append(Sample("ready.start_s", count, p90, "s", case, "p90"))
    finally:
        unanswering.close()
    return out


# ---------------------------------------------------------------------------------------------------
# Memory and log


def memory(folder: Path, sizes: Sequence[int] = (0, *SIZES, 1_500), rounds: int = 3) -> Found:
    """What a process holds when its list is there, and after it was used for some thousand calls."""
    out: Found = []
    with behind([each or 1 for each in sizes]) as stand:
        for size in sizes:
            rest, used = [], []
            for number in range(rounds):
                given = configuration(stand.discovery[size or 1], stand.servers[:size])
                with sidecar(folder / f"{size}-{number}", given) as started:
                    port = started.port()
                    time.sleep(1.0)  # discovery's first list is in by then
                    rest.append(resident_mb(started.process.pid))
                    load = OpenLoop((HOST, port), 64)
                    load.play(1_000.0, 3.0, number + 1)
                    used.append(resident_mb(started.process.pid))
                    load.close()
            out += spread("list.memory_mb", size, rest, "MB", "rest")
            out += spread("list.memory_mb", size, used, "MB", "used")
    return out


def log(folder: Path, sizes: Sequence[int] = SIZES, seconds: float = LOG_S) -> Found:
    """Bytes of log a second: at rest, loaded, with discovery down, with members that are not there."""
    unanswering = _Unanswering()
    out: Found = []
    try:
        with behind(sizes) as stand, ExitStack() as stack:
            there: list[tuple[str, int, Started]] = []
            for size in sizes:
                found = stand.discovery[size], stand.servers[:size]
                cases = {
                    "rest": configuration(*found),
                    "293/s": configuration(*found),
                    "discovery down": configuration(unanswering.down, found[1]),
                    "members silent": configuration(*found, **tier(size)),
                }
                for case, given in cases.items():
                    started = stack.enter_context(sidecar(folder / f"{case}-{size}", given))
                    there.append((case, size, started))
            ports = [each.port() for _, _, each in there]
            before = [len(each.log.read_bytes()) for _, _, each in there]
            began = time.monotonic()
            for (case, size, _), port in zip(there, ports, strict=True):
                if case == "293/s":
                    load = OpenLoop((HOST, port))
                    load.play(RATE, seconds / len(sizes), size)
                    load.close()
            time.sleep(max(seconds - (time.monotonic() - began), 0.0))
            took = time.monotonic() - began
            for (case, size, started), was in zip(there, before, strict=True):
                over = seconds / len(sizes) if case == "293/s" else took
                value = (len(started.log.read_bytes()) - was) / over
                out.append(Sample("log.bytes", size, value, "B/s", case))
    finally:
        unanswering.close()
    return out


# ---------------------------------------------------------------------------------------------------
# Telemetry


def tier(members: int) -> dict[str, Any]:
    """A configuration's part: a tier of so many, of which none but this one is there."""
    peers = [f"127.{64 + each // 250}.0.{1 + each % 250}:{PEER_PORT}" for each in range(members)]
    own = f"127.63.0.1:{_free_udp_port('127.63.0.1')}"
    return {
        "peers": [own, *peers[1:]],
        "peer_listen": own,
        "membership": {"on": True},
        "settings": {"me": 0, "groupSize": members, "bounds": {**SETTINGS["bounds"], "mayTell": True}},
    }


def _free_udp_port(host: str) -> int:
    """A port for datagrams that nobody has now; a port that is free for connections may be taken for them."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as held:
        held.bind((host, 0))
        return int(held.getsockname()[1])


def asked(port: int) -> bytes:
    """The operators' figures, as the door gives them."""
    with socket.create_connection((HOST, port), timeout=5.0) as own:
        own.sendall(b"GET /api/telemetry HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        whole = b""
        while data := own.recv(65_536):
            whole += data
    head, _, body = whole.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200") or len(body) != answer_length(head):
        raise RuntimeError(f"no figures: {head[:80]!r}")
    return body


def figures_us(started: Started, door: int, calls: int, rounds: int = 5) -> tuple[int, list[float]]:
    """Bytes of the figures, and processor time of a call for them with its connection, by round."""
    out, body = [], b""
    for _ in range(rounds):
        before = cpu_s(started.process.pid)
        for _ in range(calls):
            body = asked(door)
        out.append(1e6 * (cpu_s(started.process.pid) - before) / calls)
    return len(body), out


def telemetry(folder: Path, calls: int = FIGURES) -> Found:
    out: Found = []
    with behind(SIZES) as stand:
        cells: list[tuple[str, int, int, dict[str, Any]]]
        cells = [("servers", size, size, {}) for size in SIZES]
        cells += [("members", size, SIZES[0], tier(size)) for size in MEMBERS]
        for case, size, servers, more in cells:
            door = free_ports(1)[0]
            given = configuration(stand.discovery[servers], stand.servers[:servers], **more)
            opened = {"BALANCER_CONSOLE": f"{HOST}:{door}"}
            with sidecar(folder / f"{case}-{size}", given, opened) as started:
                started.port()
                count, values = figures_us(started, door, calls)
                out.append(Sample("telemetry.bytes", size, count, "B", case))
                out += spread("telemetry.us", size, values, "us", case)
    return out


def main() -> None:
    kinds = {"ready": ready, "memory": memory, "log": log, "telemetry": telemetry}
    parser = argparse.ArgumentParser(prog="python -m bench.startup", description=__doc__)
    parser.add_argument("what", choices=tuple(kinds))
    parser.add_argument("--out", type=Path, default=FOLDER, help="folder for the data (default: %(default)s)")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        found = kinds[arguments.what](Path(folder))  # type: ignore[operator]
    show(found)
    notes = f"A shared machine, where others ran meanwhile; decisions {how_built()}."
    print(
        save(
            f"path-{arguments.what}",
            f"python -m bench.startup {arguments.what}",
            found,
            notes=notes,
            folder=arguments.out,
        )
    )


if __name__ == "__main__":
    main()
