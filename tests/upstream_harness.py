"""An `Upstream` with one scripted server, for tests of single attempts and connections."""

from __future__ import annotations

from loopback import ScriptedServer, endpoint_entry, wait_until

from balancer.events import Outcome
from balancer.settings import Limits
from sidecar.clock import Clock
from sidecar.discovery.endpoint_list import parse_endpoint_list
from sidecar.upstream.attempt import Attempt
from sidecar.upstream.http_exchange import OnStreamingResponse, OutgoingRequest
from sidecar.upstream.upstream import Upstream

LONG_LIMITS = Limits(connect_timeout_us=60_000_000, idle_timeout_us=3_600_000_000)  # longer than any test


class FakeClock(Clock):
    """A clock that only a test advances."""

    def __init__(self) -> None:
        self.time = 1_000_000

    def now(self) -> int:
        return self.time

    def monotonic(self) -> int:
        return self.time


class UpstreamHarness:
    def __init__(self, server: ScriptedServer, clock: Clock | None = None, max_connections: int = 16) -> None:
        self.server = server
        self.upstream = Upstream(clock or Clock(), LONG_LIMITS, max_connections, lambda: None)
        listed = endpoint_entry("s-0", server.address)
        self.upstream.update_endpoints(parse_endpoint_list({"version": 1, "full": True, "servers": [listed]}))
        self.outcomes: list[Outcome] = []

    async def attempt(self, on_streaming_response: OnStreamingResponse | None = None) -> Outcome:
        """Send an attempt and wait for its outcome."""
        count = len(self.outcomes)
        self.upstream.start(
            Attempt(
                "s-0",
                2**60,
                lambda _time_left_us: OutgoingRequest(b"GET", b"/", [(b"host", b"x")]),
                lambda outcome, _response: self.outcomes.append(outcome),
                on_streaming_response,
            )
        )
        await wait_until(lambda: len(self.outcomes) > count)
        return self.outcomes[-1]

    def close(self) -> None:
        self.upstream.close()
        self.server.stop()
