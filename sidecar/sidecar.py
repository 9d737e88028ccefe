"""A sidecar process: creates and connects its components, and starts and stops them."""

from __future__ import annotations

import socket
from collections.abc import Callable

from balancer import Balancer
from balancer.events import EndpointListKind, EndpointListReceived
from balancer.settings import DiscoveryMode
from sidecar.action_executor import ActionExecutor
from sidecar.admin_interface import MAX_CONNECTIONS, AdminInterface
from sidecar.administration import Administration, ServerExclusions
from sidecar.attempts import Attempts
from sidecar.clock import Clock
from sidecar.cluster_service import ClusterService
from sidecar.configuration import Configuration
from sidecar.discovery.discovery import Discovery
from sidecar.discovery.endpoint_list import EndpointList
from sidecar.downstream.downstream import Downstream
from sidecar.event_dispatcher import EventDispatcher
from sidecar.graceful_shutdown import GracefulShutdown
from sidecar.hot_restart import ConnectionLimits, HotRestart, connection_limits
from sidecar.log_events import EventLog, MemoryHigh
from sidecar.memory_budget import MemoryBudget
from sidecar.memory_limits import MemoryLimits
from sidecar.metrics import Metrics
from sidecar.open_requests import OpenRequests
from sidecar.persisted_exclusions import PersistedExclusions
from sidecar.process_lock import ProcessLock
from sidecar.request_ids import RequestIdTable
from sidecar.request_intake import RequestIntake
from sidecar.shutdown_state import ShutdownState
from sidecar.socket_binding import bind_listener, bind_with_retry
from sidecar.upstream.upstream import Upstream

# Maximum delay of a start for the first list of an agent that pushes lists: a process has to be ready in 6 s.
_FIRST_LIST_TIMEOUT_S = 5.0


class Sidecar:
    """The components of a sidecar process."""

    def __init__(
        self, configuration: Configuration, log: EventLog, listener: socket.socket | None = None
    ) -> None:
        """The `listener` for clients is given if the platform holds it, so that processes can share it."""
        self._configuration = configuration
        self._listener = listener
        self._log = log
        self._clock = Clock()
        self._shutdown_state = ShutdownState()
        # Called when another sidecar reports a newer configuration version, so that the file is reloaded.
        self.on_newer_version: Callable[[], None] = lambda: None
        self._hot_restart = HotRestart(self._create_process_lock())
        self._persisted_exclusions = self._create_persisted_exclusions()
        self._metrics = Metrics(service_class.name for service_class in configuration.settings.classes)
        self._memory_limits = self._divide_memory()
        self._response_memory = MemoryBudget(self._memory_limits.responses)
        self._upstream = self._create_upstream()
        self._request_ids = self._create_request_ids()
        self._requests = OpenRequests(self._metrics, self._upstream.withdraw, self._request_ids)
        self._balancer = Balancer(configuration.settings, configuration.seed)
        self._dispatcher = EventDispatcher(self._balancer, self._clock, self._requests, log)
        self._cluster = self._create_cluster()
        self._discovery = self._create_discovery()
        self._executor = self._create_executor()
        self._dispatcher.execute = self._executor.execute
        self.downstream = self._create_downstream()
        self._exclusions = ServerExclusions(
            self._balancer, self._upstream, self._persisted_exclusions, self._dispatcher.dispatch
        )
        self.administration = self._create_administration()
        self.admin_interface = self._create_admin_interface()

    async def start(self) -> None:
        """Apply the last known endpoint list and exclusions, then accept clients.

        Raises OSError if the address for clients or for the admin interface can't be bound.
        """
        configuration = self._configuration
        await self._cluster.listen(is_port_shared=self._listener is not None)
        if self.admin_interface is not None and configuration.admin_address is not None:
            await self.admin_interface.listen(configuration.admin_address)
        self._upstream.update_endpoints(configuration.known_endpoints)
        self._dispatcher.dispatch(configuration.known_endpoints.event(EndpointListKind.CACHED))
        self._exclusions.restore(watch=self._listener is not None)
        self._hot_restart.watch(self._resize_upstream)
        self._discovery.start()
        await self._discovery.wait_for_first_list(_FIRST_LIST_TIMEOUT_S)
        self.downstream.listen(self._listener or await self._bind_listener())

    async def _bind_listener(self) -> socket.socket:
        address = self._configuration.listen_address
        return await bind_with_retry(lambda: bind_listener(address))

    def reconfigure(self, configuration: Configuration) -> list[str]:
        """Apply what can change at run time: addresses of discovery and peers, membership and version.

        Returns:
            The keys that differ but only take effect at a restart.

        Raises:
            ConfigurationError: the version is older than the one in force; nothing was changed.
        """
        self._cluster.check_version(configuration)
        keys_requiring_restart = self._configuration.keys_requiring_restart(configuration)
        self._discovery.change_address(configuration.discovery_address)
        self._cluster.reconfigure(configuration, is_fully_applied=not keys_requiring_restart)
        return keys_requiring_restart

    @property
    def version(self) -> int | None:
        """The version of the configuration in force; None if versions are not compared."""
        return self._cluster.version

    @property
    def open_requests(self) -> int:
        """The number of requests that are unanswered or have an attempt in flight."""
        return len(self._requests)

    @property
    def unanswered_requests(self) -> int:
        """The number of requests without a final response."""
        return self._requests.unanswered

    @property
    def is_shutting_down(self) -> bool:
        """Whether the graceful shutdown has begun."""
        return self._shutdown_state.is_shutting_down

    def describe_memory(self, used_mb: int) -> MemoryHigh:
        """Return the log event for a process that uses this much memory: what is held for peers."""
        return MemoryHigh(
            used_mb,
            self._configuration.memory_mb,
            request_kb=self.downstream.request_memory.used_bytes >> 10,
            upload_kb=self.downstream.upload_memory.used_bytes >> 10,
            response_kb=self._response_memory.used_bytes >> 10,
            open_requests=self.open_requests,
            client_connections=self.downstream.open_connections,
            server_connections=self._upstream.open_connections,
        )

    async def shut_down(self) -> None:
        """Shut down gracefully: answer all requests, including those that still arrive, then close."""
        shutdown = GracefulShutdown(
            self._configuration.settings,
            self._clock,
            self.downstream,
            self._requests,
            self._shutdown_state,
            owns_listener=self._listener is None,
        )
        shutdown.begin()
        self._cluster.shut_down(has_successor=self._hot_restart.has_other_process())
        await shutdown.complete_requests()
        self.close()

    def close(self) -> None:
        """Close all sockets and stop all timers at once."""
        if self.admin_interface is not None:
            self.admin_interface.close()
        self._exclusions.close()
        self._hot_restart.close()
        self._discovery.close()
        self._cluster.close()
        self._upstream.close()
        self.downstream.stop_listening()

    def _endpoint_list_received(self, endpoint_list: EndpointList) -> None:
        self._upstream.update_endpoints(endpoint_list)
        self._dispatcher.dispatch(endpoint_list.event())

    def _endpoint_list_failed(self) -> None:
        self._dispatcher.dispatch(EndpointListReceived(EndpointListKind.FAILED))

    def _connection_limits(self) -> ConnectionLimits:
        max_admin_connections = 0 if self._configuration.admin_address is None else MAX_CONNECTIONS
        return connection_limits(
            self._configuration.max_sockets,
            max_admin_connections,
            is_only_process=self._hot_restart.is_only_process,
        )

    def _divide_memory(self) -> MemoryLimits:
        """Divide the memory; during a hot restart, two processes share the limit of one sidecar."""
        process_count = 1 if self._listener is None else 2
        connections = self._connection_limits()
        return MemoryLimits.of_process(
            self._configuration.memory_mb // process_count, connections.downstream, connections.upstream
        )

    def _resize_upstream(self) -> None:
        self._upstream.resize(self._connection_limits().upstream)

    # Creation of the components

    def _create_process_lock(self) -> ProcessLock | None:
        directory = self._configuration.state_directory
        if self._listener is None or directory is None:
            return None
        return ProcessLock(directory, self._log)

    def _create_persisted_exclusions(self) -> PersistedExclusions | None:
        directory = self._configuration.state_directory
        if self._configuration.admin_address is None or directory is None:
            return None
        return PersistedExclusions(directory, self._log)

    def _create_request_ids(self) -> RequestIdTable:
        directory = self._configuration.state_directory if self._listener is not None else None
        return RequestIdTable(self._clock, directory, self._log)

    def _create_upstream(self) -> Upstream:
        before_writing = None
        if self._persisted_exclusions is not None and self._listener is not None:
            # During a hot restart, the other process may have recorded an exclusion since the last poll.
            before_writing = self._persisted_exclusions.check
        return Upstream(
            self._clock,
            self._configuration.settings.limits,
            self._connection_limits().upstream,
            self._metrics.attempt_sent,
            before_writing,
            self._memory_limits.read,
            self._response_memory,
        )

    def _create_cluster(self) -> ClusterService:
        return ClusterService(
            self._configuration,
            self._clock,
            self._dispatcher.dispatch,
            lambda: self.on_newer_version(),
            self._log,
        )

    def _create_discovery(self) -> Discovery:
        return Discovery(
            self._configuration.discovery_address,
            self._configuration.known_endpoints,
            self._configuration.seed,
            self._endpoint_list_received,
            self._endpoint_list_failed,
            is_pushed=self._configuration.settings.discovery is DiscoveryMode.PUSHED,
        )

    def _create_executor(self) -> ActionExecutor:
        settings, dispatch = self._configuration.settings, self._dispatcher.dispatch
        return ActionExecutor(
            self._clock,
            self._requests,
            Attempts(settings, self._clock, self._requests, self._upstream, dispatch),
            self._upstream,
            self._discovery,
            self._cluster.peers,
            dispatch,
            self._log,
            sends_retry_after=settings.limits.retry_after,
        )

    def _create_downstream(self) -> Downstream:
        intake = RequestIntake(
            self._configuration.settings,
            self._clock,
            self._requests,
            self._upstream,
            self._shutdown_state,
            self._dispatcher.dispatch,
            self._cluster.request_received,
        )
        return Downstream(
            self._configuration.settings,
            self._connection_limits().downstream,
            self._memory_limits,
            intake.request_received,
            intake.body_completed,
            intake.body_unread,
            intake.client_disconnected,
        )

    def _create_administration(self) -> Administration:
        return Administration(
            self._balancer,
            self.downstream,
            self._requests,
            self._metrics,
            self._exclusions,
            self._cluster,
            self._shutdown_state,
            self._log,
        )

    def _create_admin_interface(self) -> AdminInterface | None:
        has_address = self._configuration.admin_address is not None
        return AdminInterface(self.administration) if has_address else None
