"""Real sidecars for measuring: their configuration, and processes started as the deploy file says.

Nothing is pinned to a core: on a shared machine that core may be somebody else's.
"""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import time
import tomllib
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

from bench.__main__ import SETTINGS
from bench.listed import listed
from bench.process import HOST

ROOT = Path(__file__).resolve().parent.parent
NATIVE = ROOT / "build" / "native"
_SERVES = re.compile(rb" serves on \S+:([0-9]+)\n")


def run_command() -> list[str]:
    """What starts a sidecar here, by the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return ["/bin/sh", "-c", deploy["run"]]


def is_compiled() -> bool:
    """Whether `build` has left compiled decisions, which `run` then starts."""
    return any((NATIVE / "balancer").glob("balancer*.so"))


def how_built() -> str:
    return "compiled" if is_compiled() else "not compiled"


def native_environment() -> dict[str, str]:
    """What has Python look first at what `build` has left."""
    return {"PYTHONPATH": f"{NATIVE}{os.pathsep}{ROOT}"}


def restart_as_built(module: str) -> None:
    """Start this process anew with what `build` has left in front, where it was not started so."""
    wanted = native_environment()
    if is_compiled() and os.environ.get("PYTHONPATH") != wanted["PYTHONPATH"]:
        command = [sys.executable, "-P", "-m", module, *sys.argv[1:]]
        os.execve(sys.executable, command, {**os.environ, **wanted})


def configuration(
    discovery: int,
    ports: Sequence[int],
    *,
    settings: dict[str, Any] | None = None,
    **more: object,
) -> dict[str, object]:
    """A configuration in the first of five zones, these servers known; the system chooses the port."""
    return {
        "name": "bench",
        "listen": f"{HOST}:0",
        "discovery": f"{HOST}:{discovery}",
        "seed": "1",
        "known": listed(ports),
        "settings": {**SETTINGS, "zone": "z0", **(settings or {})},
        **more,
    }


@contextmanager
def running(
    command: Sequence[str],
    environment: dict[str, str] | None = None,
    err: int | IO[bytes] = subprocess.DEVNULL,
) -> Iterator[subprocess.Popen[bytes]]:
    """Run a command from the root of the tree, and end it."""
    process = subprocess.Popen(
        command,
        cwd=ROOT,
        env={**os.environ, **(environment or {})},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=err,
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        for stream in (process.stdin, process.stdout, process.stderr):
            if stream is not None:
                stream.close()


@dataclass
class Behind:
    """The stand-ins that run: all servers' ports, and discovery's for each length of list."""

    servers: list[int]
    discovery: dict[int, int] = field(default_factory=dict)


@contextmanager
def behind(sizes: Sequence[int]) -> Iterator[Behind]:
    """Stand-ins for lists of these lengths."""
    with running([sys.executable, "-m", "bench.listed", *map(str, sizes)]) as process:
        assert process.stdout is not None
        told = json.loads(process.stdout.readline())
        yield Behind(told["servers"], {int(size): port for size, port in told["discovery"].items()})


@dataclass
class Started:
    """A sidecar's process, where it listens, and the file that its log goes to."""

    process: subprocess.Popen[bytes]
    log: Path

    def port(self, within_s: float = 30.0) -> int:
        """Where it takes clients, as soon as it says so; raise TimeoutError."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            found = _SERVES.search(self.log.read_bytes())
            if found:
                return int(found[1])
            time.sleep(0.02)
        raise TimeoutError(f"it does not listen: {self.log.read_text()[-500:]}")


@contextmanager
def sidecar(
    folder: Path,
    given: dict[str, object],
    environment: dict[str, str] | None = None,
    *,
    piped: bool = False,
) -> Iterator[Started]:
    """A sidecar with this configuration, in a folder of its own; its log is `folder`/log, or a pipe."""
    folder.mkdir(parents=True)
    config = folder / "config.json"
    config.write_text(json.dumps(given))
    told = {"BALANCER_CONFIG": str(config), "TMPDIR": str(folder), **(environment or {})}
    with ExitStack() as stack:
        log = subprocess.PIPE if piped else stack.enter_context((folder / "log").open("wb"))
        yield Started(stack.enter_context(running(run_command(), told, log)), folder / "log")
