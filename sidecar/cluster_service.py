"""Communication with the other sidecars of the cluster: datagrams, membership and rollout of versions.

Membership and rollout are imported when they are first switched on, which saves memory in processes without
them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from balancer.events import ClusterSizeChanged, Event, PeerMessageReceived
from sidecar.clock import Clock
from sidecar.configuration import Configuration, ConfigurationError
from sidecar.log_events import EventLog, PeerListenFailed
from sidecar.peers import Peers

if TYPE_CHECKING:
    from sidecar.cluster.cluster_size import ClusterSize
    from sidecar.cluster.settings import MembershipSettings
    from sidecar.cluster_membership import ClusterMembership
    from sidecar.configuration_rollout import ConfigurationRollout


class ClusterService:
    """Owns the datagram endpoint, membership and rollout, and applies the configuration to them."""

    def __init__(
        self,
        configuration: Configuration,
        clock: Clock,
        dispatch: Callable[[Event], None],
        on_newer_version: Callable[[], None],
        log: EventLog,
    ) -> None:
        """Create the service; it sends and receives nothing before `listen`.

        `on_newer_version` is called when another sidecar has a newer version of the configuration.
        """
        self._configuration = configuration
        self._number = configuration.settings.instance_index
        self._clock = clock
        self._dispatch = dispatch
        self._on_newer_version = on_newer_version
        self._log = log
        self._last_size: ClusterSizeChanged | None = None  # the last one dispatched
        self._is_shut_down = False
        self.peers = self.create_peers(configuration)
        self.membership: ClusterMembership | None = None  # None: never switched on
        self.rollout: ConfigurationRollout | None = None  # None: never switched on

    def create_peers(self, configuration: Configuration) -> Peers:
        """Return the datagram endpoint; a subclass may return another one."""
        addresses, broadcast = configuration.peer_addresses, configuration.broadcast_address
        return Peers(addresses, broadcast, self._number, self.message_received)

    def create_membership(self) -> ClusterMembership:
        """Return the membership of this process; a subclass may return another one."""
        from sidecar.cluster_membership import ClusterMembership

        configuration = self._configuration
        return ClusterMembership(
            self._number,
            configuration.cluster,
            configuration.seed,
            self._clock,
            self.peers,
            self._log,
            self.size_changed,
        )

    async def listen(self, *, is_port_shared: bool) -> None:
        """Start to receive datagrams, if configured.

        An address that can't be bound is only logged: the sidecar then serves without membership.
        """
        address = self._configuration.peer_listen_address
        if address is None or not self._configuration.settings.limits.may_message_peers:
            return
        try:
            await self.peers.listen(address, shared=is_port_shared)
        except OSError as error:
            self._log(PeerListenFailed(str(error)))
        else:
            self._configure_membership(self._configuration.membership)
            self._configure_rollout(self._configuration, is_fully_applied=True)

    def check_version(self, configuration: Configuration) -> None:
        """Raise ConfigurationError if the version of a configuration is older than that in force."""
        reason = None if self.rollout is None else self.rollout.rejection(configuration)
        if reason is not None:
            raise ConfigurationError(reason)

    def reconfigure(self, configuration: Configuration, *, is_fully_applied: bool) -> None:
        """Apply a configuration; unless `is_fully_applied`, a part of it takes effect only at a restart."""
        self.peers.set_addresses(configuration.peer_addresses, configuration.broadcast_address)
        if self.peers.is_listening and not self._is_shut_down:
            self._configure_membership(configuration.membership)
            self._configure_rollout(configuration, is_fully_applied=is_fully_applied)

    @property
    def version(self) -> int | None:
        """The version of the configuration that is in force; None while rollout is off."""
        return None if self.rollout is None else self.rollout.version

    def metrics(self) -> dict[str, object]:
        """Return the metrics of membership and rollout, as far as they are on, by their keys."""
        membership = None if self.membership is None else self.membership.metrics()
        rollout = None if self.rollout is None else self.rollout.metrics()
        metrics: dict[str, object] = {}
        if membership is not None:
            metrics["membership"] = membership
        if rollout is not None:
            metrics["configuration"] = rollout
        return metrics

    def request_received(self) -> None:
        """Count a client request: the request rate raises membership's limit on datagrams."""
        if self.membership is not None:
            self.membership.request_received()

    def message_received(self, sender: int, payload: bytes) -> None:
        """Pass a datagram to rollout or membership, or to the balancer while membership is off."""
        if self.membership is None or self.membership.membership is None:
            self._dispatch(PeerMessageReceived(sender, payload))
        elif self.rollout is None or not self.rollout.datagram_received(sender, payload):
            self.membership.datagram_received(sender, payload)

    def size_changed(self, size: ClusterSize) -> None:
        """Dispatch the size of the cluster if it differs from the last one dispatched."""
        event = ClusterSizeChanged(size.configured, size.at_most, size.at_least, size.is_in_minority)
        if event != self._last_size:
            self._last_size = event
            self._dispatch(event)

    def shut_down(self, *, has_successor: bool) -> None:
        """Leave the cluster; with a successor, close the socket instead, so that it gets all datagrams."""
        self._is_shut_down = True
        if self.rollout is not None:
            self.rollout.close()
        if self.membership is not None:
            self.membership.leave(has_successor=has_successor)
        if has_successor:
            self.peers.close()

    def close(self) -> None:
        """Release the socket and all timers."""
        if self.rollout is not None:
            self.rollout.close()
        if self.membership is not None:
            self.membership.close()
        self.peers.close()

    def _configure_membership(self, settings: MembershipSettings) -> None:
        if self.membership is None:
            if not settings.on:
                return
            self.membership = self.create_membership()
        self.membership.configure(settings)

    def _configure_rollout(self, configuration: Configuration, *, is_fully_applied: bool) -> None:
        membership = None if self.membership is None else self.membership.membership
        if self.rollout is None:
            is_off = configuration.version is None or not configuration.rollout.on
            if is_off or membership is None:
                return
            self.rollout = self._create_rollout()
        self.rollout.configure(membership, configuration, is_fully_applied=is_fully_applied)

    def _create_rollout(self) -> ConfigurationRollout:
        from sidecar.configuration_rollout import ConfigurationRollout

        configuration = self._configuration
        return ConfigurationRollout(
            self._number,
            configuration.cluster,
            configuration.seed,
            self._clock,
            self.peers,
            self._log,
            self._on_newer_version,
        )
