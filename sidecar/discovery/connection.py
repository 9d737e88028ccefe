"""Polls discovery over HTTP, with consecutive requests on one persistent connection."""

from __future__ import annotations

import asyncio
import json

from sidecar.address import Address
from sidecar.discovery.endpoint_list import EndpointList, EndpointListError, parse_endpoint_list
from sidecar.errors import SidecarError
from sidecar.upstream.http_exchange import ExchangeFailure, OutgoingRequest, Response, UpstreamConnection

_PATH = "/catalog/members"
_MAX_RESPONSE_BYTES = 4 << 20
CONNECT_TIMEOUT_S = 1.0


class PollFailedError(SidecarError):
    """Discovery did not answer a poll, or its response is not a valid endpoint list."""


class DiscoveryConnection:
    """A connection to discovery, which is opened at the first poll and reopened when it is closed."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._connection: UpstreamConnection | None = None

    async def poll(self, after_version: int | None, wait_ms: int) -> EndpointList:
        """Request the changes after `after_version`, or a complete list if that is None.

        If there are no changes yet, discovery may delay its response by up to `wait_ms`.

        Raises:
            PollFailedError: there was no response, or it is not a valid endpoint list.
        """
        query = "" if after_version is None else f"?after={after_version}&wait_ms={wait_ms}"
        try:
            response = await self._get(f"{_PATH}{query}".encode())
        except (OSError, TimeoutError) as error:
            raise PollFailedError(f"can't connect to {self._host}: {error}") from None
        if isinstance(response, ExchangeFailure):
            raise PollFailedError(f"no response from {self._host}: {response.value}")
        if response.status != 200:
            raise PollFailedError(f"expected status 200 from {self._host}, got {response.status}")
        try:
            return parse_endpoint_list(json.loads(response.body))
        except (ValueError, RecursionError, EndpointListError) as error:
            raise PollFailedError(f"{self._host} sent an invalid endpoint list: {error}") from None

    def close(self) -> None:
        """Close the connection, even if a poll is waiting for its response."""
        if self._connection is not None:
            self._connection.close()

    @property
    def _host(self) -> str:
        return f"{self._address[0]}:{self._address[1]}"

    async def _get(self, target: bytes) -> Response | ExchangeFailure:
        if self._connection is None or not self._connection.is_usable():
            self.close()
            self._connection = await self._connect()
        result: asyncio.Future[Response | ExchangeFailure] = asyncio.get_running_loop().create_future()

        def on_ended(response: Response | ExchangeFailure) -> None:
            if not result.done():
                result.set_result(response)

        self._connection.exchange(OutgoingRequest(b"GET", target, [(b"host", self._host.encode())]), on_ended)
        return await result

    async def _connect(self) -> UpstreamConnection:
        def create_protocol() -> UpstreamConnection:
            return UpstreamConnection(_MAX_RESPONSE_BYTES, _ignore, _ignore)

        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                create_protocol, *self._address
            )
        if not connection.is_usable():
            connection.close()  # a poll on a connection that has ended would wait for its response forever
            raise ConnectionAbortedError("the connection ended at once")
        return connection


def _ignore(_: UpstreamConnection) -> None:
    """Do nothing: connections to discovery are not pooled, so no pool needs to be notified."""
