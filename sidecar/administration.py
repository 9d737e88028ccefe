"""Operations of the admin interface: metrics, exclusion of servers and draining of clients."""

from __future__ import annotations

from collections.abc import Callable

from balancer import Balancer
from balancer.events import EndpointExcluded, EndpointIncluded, Event
from sidecar.cluster_service import ClusterService
from sidecar.downstream.downstream import Downstream
from sidecar.log_events import ClientsDrained, ClientsResumed, EventLog
from sidecar.metrics import Metrics
from sidecar.open_requests import OpenRequests
from sidecar.persisted_exclusions import PersistedExclusions
from sidecar.poller import Poller
from sidecar.shutdown_state import ShutdownState
from sidecar.upstream.upstream import Upstream

_WRITE_RETRY_INTERVAL_S = 1.0


class ServerExclusions:
    """Excludes servers in the connection pool, in the balancer and in the file of persisted exclusions."""

    def __init__(
        self,
        balancer: Balancer,
        upstream: Upstream,
        persisted: PersistedExclusions | None,
        dispatch: Callable[[Event], None],
    ) -> None:
        self._balancer = balancer
        self._upstream = upstream
        self._persisted = persisted
        self._dispatch = dispatch
        self._write_retry = Poller(_WRITE_RETRY_INTERVAL_S, self._retry_write)
        self._target: frozenset[str] = frozenset()  # the servers to exclude, by the last call of `_apply`

    def restore(self, *, watch: bool) -> None:
        """Apply the persisted exclusions; with `watch`, also later changes that another process makes."""
        if self._persisted is None:
            return
        if watch:
            self._persisted.watch(self._apply)
        else:
            self._apply(self._persisted.read() or frozenset())
        self._write_retry.start()

    def set_excluded(self, server: str, *, is_excluded: bool) -> bool:
        """Exclude or include a server; return False if it was never in an endpoint list."""
        if not self._balancer.knows_endpoint(server):
            return False
        known = self._upstream.excluded
        if self._persisted is not None:
            self._apply(self._persisted.record(server, known, is_excluded=is_excluded))
        else:
            self._apply(known | {server} if is_excluded else known - {server})
        return True

    def close(self) -> None:
        """Stop watching the file of persisted exclusions."""
        self._write_retry.close()
        if self._persisted is not None:
            self._persisted.close()

    def _retry_write(self) -> None:
        if self._persisted is not None:
            self._apply(self._persisted.retry(self._upstream.excluded))

    def _apply(self, excluded: frozenset[str]) -> None:
        """Exclude these servers and no others.

        A dispatched event may write an attempt, before which the file is checked: such a nested call is the
        more recent one, and replaces `excluded` for the remaining servers too.
        """
        self._target = excluded
        while differences := self._upstream.excluded ^ self._target:
            server = min(differences)
            if server in self._target:
                self._upstream.exclude(server)
                self._dispatch(EndpointExcluded(server))
            else:
                self._upstream.include(server)
                self._dispatch(EndpointIncluded(server))


class Administration:
    """Implements the operations of the admin interface for one process."""

    def __init__(
        self,
        balancer: Balancer,
        downstream: Downstream,
        requests: OpenRequests,
        metrics: Metrics,
        exclusions: ServerExclusions,
        cluster: ClusterService,
        shutdown: ShutdownState,
        log: EventLog,
    ) -> None:
        self._balancer = balancer
        self._downstream = downstream
        self._requests = requests
        self._metrics = metrics
        self._exclusions = exclusions
        self._cluster = cluster
        self._shutdown = shutdown
        self._log = log

    def is_ready(self) -> bool:
        """Return whether this process accepts clients."""
        return self._downstream.is_accepting

    def metrics(self) -> dict[str, object]:
        """Return all metrics by name."""
        counts = self._balancer.endpoint_counts()
        request_metrics = self._metrics.snapshot(self._requests.pending, counts.listed, counts.unavailable)
        return {**request_metrics, **self._cluster.metrics()}

    def exclude(self, server: str) -> bool:
        """Send no more requests to a server; return False if it was never listed."""
        return self._exclusions.set_excluded(server, is_excluded=True)

    def include(self, server: str) -> bool:
        """Use an excluded server again; return False if it was never listed."""
        return self._exclusions.set_excluded(server, is_excluded=False)

    def drain_clients(self) -> bool:
        """Drain clients as in a graceful shutdown, but keep running; return False during a shutdown."""
        if self._shutdown.is_shutting_down:
            return False
        self._downstream.fails_health_checks = True
        self._downstream.drain()
        self._log(ClientsDrained())
        return True

    def resume_clients(self) -> bool:
        """Accept clients again after draining; return False during a graceful shutdown."""
        if self._shutdown.is_shutting_down:
            return False
        self._downstream.resume()
        self._log(ClientsResumed())
        return True
