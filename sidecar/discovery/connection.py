"""Polls discovery over HTTP, one request after another on one connection while that lasts."""

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
    """Discovery did not answer a poll, or not with an endpoint list."""


class DiscoveryConnection:
    """A connection to discovery, opened when it is needed."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._connection: UpstreamConnection | None = None

    async def poll(self, after_version: int | None, wait_ms: int) -> EndpointList:
        """Ask for the changes after a version, or for a complete list; raise PollFailedError.

        Discovery may answer up to `wait_ms` later if there are no changes yet.
        """
        query = "" if after_version is None else f"?after={after_version}&wait_ms={wait_ms}"
        try:
            response = await self._get(f"{_PATH}{query}".encode())
        except (OSError, TimeoutError) as error:
            raise PollFailedError(f"no connection to {self._host}: {error}") from None
        if isinstance(response, ExchangeFailure):
            raise PollFailedError(f"no response from {self._host}: {response.value}")
        if response.status != 200:
            raise PollFailedError(f"{self._host} answered with status {response.status}")
        try:
            return parse_endpoint_list(json.loads(response.body))
        except (ValueError, RecursionError, EndpointListError) as error:
            raise PollFailedError(f"{self._host} sent an invalid endpoint list: {error}") from None

    def close(self) -> None:
        """Close the connection, also while a poll is waiting for its response."""
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

        def ended(response: Response | ExchangeFailure) -> None:
            if not result.done():
                result.set_result(response)

        self._connection.exchange(OutgoingRequest(b"GET", target, [(b"host", self._host.encode())]), ended)
        return await result

    async def _connect(self) -> UpstreamConnection:
        def create() -> UpstreamConnection:
            return UpstreamConnection(_MAX_RESPONSE_BYTES, _ignore, _ignore)

        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(create, *self._address)
        return connection


def _ignore(_: UpstreamConnection) -> None:
    """Connections to discovery are not pooled."""
