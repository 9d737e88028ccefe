"""The memory use of a process."""

from __future__ import annotations

from pathlib import Path


def peak_memory_mb(process_id: int) -> float:
    """Return the highest resident memory that a process has had."""
    status = Path(f"/proc/{process_id}/status").read_text(encoding="ascii")
    return int(status.partition("VmHWM:")[2].split()[0]) / 1_024
