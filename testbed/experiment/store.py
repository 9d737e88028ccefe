"""Stores results of cells in an SQLite file, so that an interrupted experiment can be continued."""

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
    """The SQLite file can't be opened or created."""


@dataclass(frozen=True, slots=True)
class Key:
    """Identifies a cell and the sources that it is run with."""

    world: str
    seed: int
    variant: str
    engine: str
    rate: float
    digest: str  # of the scenario's text and the sources

    def columns(self) -> tuple[str, int, str, str, float, str]:
        """Return the values of the key columns, in the order of the table."""
        return self.world, self.seed, self.variant, self.engine, self.rate, self.digest


class Store:
    """SQLite store of results; each result is committed before `put` returns."""

    def __init__(self, path: Path) -> None:
        """Open or create the file; raise StoreError if that fails."""
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            self._connection = sqlite3.connect(path)
            self._connection.execute(_TABLE)
        except (OSError, sqlite3.Error) as error:
            raise StoreError(f"{path}: {error}") from None

    def has(self, key: Key) -> bool:
        """Whether a result is stored for the key."""
        query = "SELECT 1 FROM cells WHERE (world, seed, variant, engine, rate, digest) = (?, ?, ?, ?, ?, ?)"
        return self._connection.execute(query, key.columns()).fetchone() is not None

    def put(self, key: Key, place: int, result: dict[str, Any]) -> None:
        """Store a result; `place` is the position of its variant among those compared."""
        with self._connection:
            self._connection.execute(
                "INSERT OR REPLACE INTO cells VALUES (?, ?, ?, ?, ?, ?, ?, ?)",
                (*key.columns(), place, json.dumps(result)),
            )

    def results(self) -> list[tuple[Key, dict[str, Any]]]:
        """Return the newest result of each cell, by scenario, rate, position of the variant and seed."""
        rows = self._connection.execute("SELECT * FROM cells ORDER BY rowid").fetchall()
        newest: dict[tuple[Any, ...], tuple[int, Key, str]] = {}
        for *key, place, result in rows:  # a key without its digest identifies the cell
            newest[tuple(key[:-1])] = place, Key(*key), result
        ordered = sorted(
            newest.values(), key=lambda entry: (entry[1].world, entry[1].rate, entry[0], entry[1].seed)
        )
        return [(key, json.loads(result)) for _, key, result in ordered]

    def close(self) -> None:
        """Close the database."""
        self._connection.close()
