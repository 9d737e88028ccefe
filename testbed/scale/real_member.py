"""Real members: processes of the program as the deploy file starts them, with what they believe and cost."""

from __future__ import annotations

import json
import os
import random
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from testbed import events as log
from testbed.clock import DayClock
from testbed.emulator.copies import Sidecar, _asked
from testbed.scenario.scenario_run import ScenarioRun

_GONE = "dl"  # letters of a view


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used since its start, and what it holds."""

    cpu_s: float
    memory_mb: float


class RealMember(Sidecar):
    """One real member, or a process beside the tier."""

    def __init__(
        self,
        day: ScenarioRun,
        number: int,
        command: str,
        root: Path,
        folder: Path,
        clock: DayClock,
        writer: log.EventLogWriter,
    ) -> None:
        rng = random.Random(f"real {day.seed} {number}")
        super().__init__(day, day.replicas[number], command, root, folder, clock, writer, rng, 60.0)
        self.number = number
        self.listing = lambda: None  # the list is discovery's to tell

    @property
    def is_alive(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and not self.process.ended.is_set()

    async def view(self) -> str | None:
        """What it believes of all members, a letter each; None where it does not say."""
        membership = (await self.told()).get("membership")
        return str(membership["view"]) if isinstance(membership, dict) else None

    async def told(self) -> dict[str, Any]:
        """Its figures as operators see them; empty where it does not say."""
        if self._door is None or not self.is_alive:
            return {}
        told = await _asked(self._door, "/api/telemetry")
        given: dict[str, Any] = {} if told is None else json.loads(told)
        return given

    def publish(self, version: int) -> None:
        """Put a file of this version in the place of the last one; nobody is told."""
        path = self.folder / "config.json"
        held = json.loads(path.read_text())
        self.config["version"] = version
        path.with_suffix(".new").write_text(json.dumps({**held, "version": version}))
        path.with_suffix(".new").rename(path)

    def usage(self) -> Usage | None:
        """Processor time, by the scheduler's nanoseconds, and resident memory; None where it has ended."""
        if self.process is None or not self.is_alive:
            return None
        own = Path("/proc") / str(self.process.number)
        try:
            spent = sum(int((task / "schedstat").read_text().split()[0]) for task in (own / "task").iterdir())
            pages = int((own / "statm").read_text().split()[1])
        except (OSError, IndexError, ValueError):
            return None
        return Usage(spent / 1e9, pages * os.sysconf("SC_PAGE_SIZE") / 2**20)


def knows_gone(view: str, members: list[int]) -> bool:
    """Whether all of these are believed dead or left."""
    return all(view[each] in _GONE for each in members)


def is_true(view: str, gone: set[int]) -> bool:
    """Whether just these are believed gone, and all others present."""
    return all((letter in _GONE) if number in gone else letter == "p" for number, letter in enumerate(view))
