"""Writes docs/capacity.md and its plots from the stored capacity runs: `make capacity`."""

from __future__ import annotations

from testbed.capacity.page import render, render_plots
from testbed.capacity.rows import compute_rows, read_table
from testbed.capacity.samples import FOLDER, ROOT, load_all

PAGE = ROOT / "docs" / "capacity.md"


def main() -> None:
    """Write the capacity page and its plots, and delete plots that the page no longer has."""
    table, runs = read_table(), load_all()
    PAGE.write_text(render(table, runs))
    plots = render_plots(compute_rows(table, runs)[0])
    for path in FOLDER.glob("*.svg"):
        if path.name not in plots:
            path.unlink()
    for name, svg in plots.items():
        (FOLDER / name).write_text(svg)
    print(f"{PAGE.name}: {len(runs)} runs, {len(plots)} plots")


if __name__ == "__main__":
    main()
