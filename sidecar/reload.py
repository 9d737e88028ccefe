"""Reads the configuration again: at SIGHUP, and when other sidecars say that there is a newer version."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from zlib import crc32

from sidecar.config import ConfigError, contents, load
from sidecar.sidecar import Sidecar


class Reload:
    """The way from the file to a running sidecar."""

    def __init__(self, sidecar: Sidecar, log: Callable[[str], None], environ: Mapping[str, str]) -> None:
        self._sidecar, self._log, self._environ = sidecar, log, environ
        self._seen: int | None = None  # a checksum of what was read last

    def hang_up(self) -> None:
        """Take over what may change while running; a bad file, or an older version, changes nothing."""
        self._take(only_newer=False)

    def look(self) -> None:
        """Do so if the file has a newer version than that in force; it is read only where it has changed."""
        self._take(only_newer=True)

    def _take(self, only_newer: bool) -> None:
        try:
            held = contents(self._environ)
            before, self._seen = self._seen, crc32(held)
            if only_newer and self._seen == before:
                return
            config = load(self._environ, held)
            if only_newer and (config.version or 0) <= (self._sidecar.version or 0):
                return
            kept = self._sidecar.reconfigure(config)
        except ConfigError as fault:
            self._log(f"kept the configuration: {fault}".replace("\n", " "))
            return
        if kept:
            self._log(f"left as it was until a restart: {', '.join(kept)}")
        address = f"{config.discovery[0]}:{config.discovery[1]}"
        version = "" if self._sidecar.version is None else f", version {self._sidecar.version}"
        self._log(f"re-read the configuration: discovery is at {address}{version}")
