"""Processes of one variant: started, measured through /proc, held to a share of a core, ended."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

HOST = "127.0.0.1"
_PERIOD_S = 0.020  # over which a share of a core is held
_LOOK_S = 0.001
_READY_WITHIN_S = 15.0


def free_ports(count: int) -> list[int]:
    """Ports that nobody listens at now."""
    held = [socket.socket() for _ in range(count)]
    for each in held:
        each.bind((HOST, 0))
    ports = [int(each.getsockname()[1]) for each in held]
    for each in held:
        each.close()
    return ports


@contextmanager
def started(
    command: Sequence[str], core: int, folder: Path, environment: dict[str, str] | None = None
) -> Iterator[subprocess.Popen[bytes]]:
    """Run a command on one core, and end it."""
    process = subprocess.Popen(
        command,
        cwd=folder,
        env={**os.environ, **(environment or {})},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        preexec_fn=lambda: os.sched_setaffinity(0, {core}),
    )
    try:
        yield process
    finally:
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()
        for stream in (process.stdin, process.stdout):
            if stream is not None:
                stream.close()


def cpu_s(pid: int) -> float:
    """Processor time of a process's threads so far, in seconds."""
    threads = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((each / "schedstat").read_text().split()[0]) for each in threads) / 1e9


def resident_mb(pid: int) -> float:
    """Memory that a process holds now."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(each for each in lines if each.startswith("VmRSS")).split()[1]) / 1_024


def wait_until_it_answers(port: int, target: str) -> None:
    """Return as soon as a GET is answered with 200."""
    until = time.monotonic() + _READY_WITHIN_S
    request = f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
    while time.monotonic() < until:
        try:
            with socket.create_connection((HOST, port), timeout=1.0) as asked:
                asked.sendall(request)
                if asked.recv(64).startswith(b"HTTP/1.1 200"):
                    return
        except OSError:
            pass
        time.sleep(0.002)
    raise TimeoutError(f"nobody answers at port {port}")


@contextmanager
def held_to(pid: int, share: float) -> Iterator[None]:
    """Stop a process for the rest of each period once it has had its share of a core in it."""
    over = threading.Event()

    def watch() -> None:
        while not over.is_set():
            ends = time.monotonic() + _PERIOD_S
            had = cpu_s(pid)
            while (now := time.monotonic()) < ends and not over.is_set():
                if cpu_s(pid) - had >= share * _PERIOD_S:
                    os.kill(pid, signal.SIGSTOP)
                    time.sleep(max(ends - now, 0.0))
                    os.kill(pid, signal.SIGCONT)
                    break
                time.sleep(_LOOK_S)

    watcher = threading.Thread(target=watch)
    watcher.start()
    try:
        yield
    finally:
        over.set()
        watcher.join()
