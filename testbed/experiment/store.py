"""Results of cells, in an SQLite file: an experiment that was interrupted goes on where it stopped."""

from __future__ import annotations

import json
import sqlite3
from dataclasses import dataclass
from pathlib import Path
from typing import Any

_TABLE = """
CREATE TABLE IF NOT EXISTS cells (
    world TEXT, seed INTEGER, variant TEXT, engine TEXT, rate REAL, digest TEXT, place INTEGER, result TEXT,
    PRIMARY KEY (world, seed, variant, engine, rate, digest)
)
"""


class StoreError(Exception):
    """The file can't be used."""


@dataclass(frozen=True, slots=True)
class Key:
    """Which cell, played by which sources."""

    world: str
    seed: int
    variant: str
    engine: str
    rate: float
    digest: str  # of world and sources

    def row(self) -> tuple[str, int, str, str, float, str]:
        """The key's columns, in the table's order."""
        return self.world, self.seed, self.variant, self.engine, self.rate, self.digest


class Store:
    """The file; each result is safe on disk before the next cell begins."""

    def __init__(self, path: Path) -> None:
        """Open it, or make it; raise StoreError if that fails."""
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            self._base = sqlite3.connect(path)
            self._base.execute(_TABLE)
        except (OSError, sqlite3.Error) as fault:
            raise StoreError(f"{path}: {fault}") from None

    def has(self, key: Key) -> bool:
        """Whether a result is stored for the key."""
        asked = "SELECT 1 FROM cells WHERE (world, seed, variant, engine, rate, digest) = (?, ?, ?, ?, ?, ?)"
        return self._base.execute(asked, key.row()).fetchone() is not None

    def put(self, key: Key, place: int, result: dict[str, Any]) -> None:
        """Keep a result; `place` is where its variant stands among those compared."""
        with self._base:
            self._base.execute(
                "INSERT OR REPLACE INTO cells VALUES (?, ?, ?, ?, ?, ?, ?, ?)",
                (*key.row(), place, json.dumps(result)),
            )

    def results(self) -> list[tuple[Key, dict[str, Any]]]:
        """The newest result of each cell, by world, rate, place of the variant and seed."""
        rows = self._base.execute("SELECT * FROM cells ORDER BY rowid").fetchall()
        newest: dict[tuple[Any, ...], tuple[int, Key, str]] = {}
        for *key, place, result in rows:
            newest[tuple(key[:-1])] = place, Key(*key), result
        ordered = sorted(
            newest.values(), key=lambda each: (each[1].world, each[1].rate, each[0], each[1].seed)
        )
        return [(key, json.loads(result)) for _, key, result in ordered]

    def close(self) -> None:
        """Close the database."""
        self._base.close()
