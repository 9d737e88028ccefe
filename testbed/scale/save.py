"""Keeps a run's figures below `docs/capacity/`: those that may be used, and apart those that may not."""

from __future__ import annotations

from pathlib import Path

from testbed.capacity.samples import FOLDER, save
from testbed.scale.figures import Figures


def save_results(figures: Figures, command: str, folder: Path = FOLDER) -> list[Path]:
    """Write them; where a case has a fault, a second file holds it, not valid, with the reason."""
    name = f"scale-{figures.plan.members:04d}-seed{figures.plan.seed}"
    name += "-versions" if figures.plan.has_versions else ""
    notes = "; ".join(figures.notes)
    out = [save(name, command, figures.usable, notes=notes, folder=folder)] if figures.usable else []
    if figures.faults:
        why = "; ".join(figures.faults)
        again = f"{name}-not-valid"
        out.append(save(again, command, figures.unusable, valid=False, notes=why, folder=folder))
    return out
