"""Saves the figures of a scale run below `docs/capacity/`, valid and invalid ones in separate files."""

from __future__ import annotations

from pathlib import Path

from testbed.capacity.samples import FOLDER, save
from testbed.scale.figures import Figures


def save_results(figures: Figures, command: str, folder: Path = FOLDER) -> list[Path]:
    """Write the samples of a run and return the paths of the files.

    The samples of cases with faults go to a second file, marked as not valid, with the reasons as its notes.
    """
    name = f"scale-{figures.plan.members:04d}-seed{figures.plan.seed}"
    name += "-versions" if figures.plan.has_versions else ""
    notes = "; ".join(figures.notes)
    paths = [save(name, command, figures.usable, notes=notes, folder=folder)] if figures.usable else []
    if figures.faults:
        reasons = "; ".join(figures.faults)
        invalid_name = f"{name}-not-valid"
        paths.append(save(invalid_name, command, figures.unusable, valid=False, notes=reasons, folder=folder))
    return paths
