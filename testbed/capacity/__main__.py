"""Make docs/capacity.md and its plots from the committed runs: `make capacity`."""

from __future__ import annotations

from testbed.capacity.page import pictures, render
from testbed.capacity.rows import fill, read_table
from testbed.capacity.samples import FOLDER, ROOT, load_all

PAGE = ROOT / "docs" / "capacity.md"


def main() -> None:
    """Write the capacity page and its plots from the stored runs; delete plots no longer drawn."""
    table, runs = read_table(), load_all()
    PAGE.write_text(render(table, runs))
    drawn = pictures(fill(table, runs)[0])
    for path in FOLDER.glob("*.svg"):
        if path.name not in drawn:
            path.unlink()
    for name, text in drawn.items():
        (FOLDER / name).write_text(text)
    print(f"{PAGE.name}: {len(runs)} runs, {len(drawn)} plots")


if __name__ == "__main__":
    main()
