"""Real members: sidecar processes started as in the deploy file, with their views and resource usage."""

from __future__ import annotations

import json
import os
import random
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from testbed import events as log
from testbed.clock import RunClock
from testbed.emulator.replica_process import ReplicaProcess, fetch
from testbed.scenario.scenario_run import ScenarioRun

_ENDED_LETTERS = "dl"  # in a view: dead, left


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time since the start of a process, and its resident memory."""

    cpu_s: float
    memory_mb: float


class RealMember(ReplicaProcess):
    """A sidecar process: a real member, or one with membership off for comparison."""

    def __init__(
        self,
        scenario_run: ScenarioRun,
        number: int,
        command: str,
        root: Path,
        folder: Path,
        clock: RunClock,
        writer: log.EventLogWriter,
    ) -> None:
        rng = random.Random(f"real {scenario_run.seed} {number}")
        super().__init__(
            scenario_run, scenario_run.replicas[number], command, root, folder, clock, writer, rng, 60.0
        )
        self.number = number
        self.get_endpoint_list = lambda: None  # the endpoint list comes from discovery

    @property
    def is_alive(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and not self.process.exited.is_set()

    async def view(self) -> str | None:
        """Return the member's view, one letter for the state of each member; None without an answer."""
        membership = (await self.telemetry()).get("membership")
        return str(membership["view"]) if isinstance(membership, dict) else None

    async def telemetry(self) -> dict[str, Any]:
        """Return the telemetry of the admin interface; empty without an answer."""
        if self._admin_address is None or not self.is_alive:
            return {}
        body = await fetch(self._admin_address, "/api/telemetry")
        telemetry: dict[str, Any] = {} if body is None else json.loads(body)
        return telemetry

    def publish(self, version: int) -> None:
        """Replace the configuration file by one of this version, without signalling the process."""
        path = self.folder / "config.json"
        contents = json.loads(path.read_text())
        self.config["version"] = version
        path.with_suffix(".new").write_text(json.dumps({**contents, "version": version}))
        path.with_suffix(".new").rename(path)

    def usage(self) -> Usage | None:
        """Return processor time, from scheduler statistics, and resident memory; None once it has ended."""
        if self.process is None or not self.is_alive:
            return None
        proc = Path("/proc") / str(self.process.pid)
        try:
            cpu_ns = sum(
                int((task / "schedstat").read_text().split()[0]) for task in (proc / "task").iterdir()
            )
            pages = int((proc / "statm").read_text().split()[1])
        except (OSError, IndexError, ValueError):
            return None
        return Usage(cpu_ns / 1e9, pages * os.sysconf("SC_PAGE_SIZE") / 2**20)


def shows_ended(view: str, members: list[int]) -> bool:
    """Whether a view holds all these members as dead or left."""
    return all(view[number] in _ENDED_LETTERS for number in members)


def is_accurate(view: str, ended: set[int]) -> bool:
    """Whether a view holds exactly these members as dead or left, and all others as present."""
    return all(
        (letter in _ENDED_LETTERS) if number in ended else letter == "p" for number, letter in enumerate(view)
    )
