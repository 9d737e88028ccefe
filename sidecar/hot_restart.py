"""Divides the connection limits between the two processes of a sidecar that run during a hot restart."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sidecar.poller import Poller
from sidecar.process_lock import ProcessLock

_RESERVED_SOCKETS = 48  # for uses other than clients, servers and the admin interface
_MAX_DOWNSTREAM_SHARE = 1 / 3  # of all sockets; the most that the platform allows for clients
_DOWNSTREAM_SHARE = 1 / 2  # of the sockets that are not reserved, if that is less
_POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The maximum numbers of connections of one process."""

    downstream: int
    upstream: int


def connection_limits(
    max_sockets: int, max_admin_connections: int, *, is_only_process: bool
) -> ConnectionLimits:
    """Divide the sockets of a sidecar between clients, servers and, in a hot restart, two processes.

    Each of two processes gets half of the upstream connections.  The downstream limit is not halved, because
    during a hot restart all clients move from one process to the other almost at once.
    """
    available = max_sockets - _RESERVED_SOCKETS - max_admin_connections
    downstream = int(min(max_sockets * _MAX_DOWNSTREAM_SHARE, available * _DOWNSTREAM_SHARE))
    return ConnectionLimits(downstream, (available - downstream) // (1 if is_only_process else 2))


class HotRestart:
    """Detects whether another process of this sidecar is running."""

    def __init__(self, process_lock: ProcessLock | None) -> None:
        """Without a process lock, this process is assumed to be the only one."""
        self._process_lock = process_lock
        self._poller = Poller(_POLL_INTERVAL_S, self._poll)
        self._on_change: Callable[[], None] = lambda: None
        self.is_only_process = not self.has_other_process()  # as of the last poll

    def has_other_process(self) -> bool:
        """Check now whether another process of this sidecar is running."""
        return self._process_lock is not None and not self._process_lock.is_only_process()

    def watch(self, on_change: Callable[[], None]) -> None:
        """Start polling; `on_change` is called after `is_only_process` has changed."""
        self._on_change = on_change
        if self._process_lock is not None:
            self._poller.start()

    def close(self) -> None:
        """Stop polling and release the lock."""
        self._poller.close()
        if self._process_lock is not None:
            self._process_lock.close()

    def _poll(self) -> None:
        is_only_process = not self.has_other_process()
        if is_only_process != self.is_only_process:
            self.is_only_process = is_only_process
            self._on_change()
