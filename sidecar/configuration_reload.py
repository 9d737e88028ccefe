"""Reloads the configuration file on SIGHUP, and when other sidecars report a newer version.

This module decides whether to apply the file; `Sidecar.reconfigure` applies what can change at run time.
"""

from __future__ import annotations

from collections.abc import Mapping
from zlib import crc32

from sidecar.configuration import Configuration, ConfigurationError, load, read_file
from sidecar.log_events import ConfigurationRejected, ConfigurationReloaded, EventLog, RestartRequired
from sidecar.sidecar import Sidecar


class ConfigurationReloader:
    """Applies the configuration file to a running sidecar."""

    def __init__(self, sidecar: Sidecar, log: EventLog, environment: Mapping[str, str]) -> None:
        self._sidecar = sidecar
        self._log = log
        self._environment = environment
        self._last_checksum: int | None = None  # checksum of the file's content when it was last read

    def reload(self) -> None:
        """Read and apply the file; if it is invalid or of an older version, log that and change nothing."""
        try:
            content = read_file(self._environment)
            self._last_checksum = crc32(content)
            configuration = load(self._environment, content)
            self._apply(configuration)
        except ConfigurationError as error:
            self._log_rejection(error)

    def reload_if_newer(self) -> None:
        """Apply the file if its version is newer than the one in force.

        The file is only parsed if its content has changed since it was last read.
        """
        try:
            content = read_file(self._environment)
            previous_checksum, self._last_checksum = self._last_checksum, crc32(content)
            if self._last_checksum == previous_checksum:
                return
            configuration = load(self._environment, content)
            if (configuration.version or 0) > (self._sidecar.version or 0):
                self._apply(configuration)
        except ConfigurationError as error:
            self._log_rejection(error)

    def _apply(self, configuration: Configuration) -> None:
        keys_requiring_restart = self._sidecar.reconfigure(configuration)
        if keys_requiring_restart:
            self._log(RestartRequired(tuple(keys_requiring_restart)))
        host, port = configuration.discovery_address
        self._log(ConfigurationReloaded(host, port, self._sidecar.version))

    def _log_rejection(self, error: ConfigurationError) -> None:
        self._log(ConfigurationRejected(str(error)))
