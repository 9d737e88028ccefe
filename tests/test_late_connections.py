"""What may have changed while a connection comes up: the write is judged, not the decision before it.

Each peer that comes up late does so by `SlowToAccept.let_go`, so that what crosses the dial is done by then.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import pytest
from loopback import (
    FULL,
    HOST,
    OK,
    ReceivedRequest,
    SidecarHarness,
    SlowAcceptServer,
    endpoint_entry,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
)

from balancer.actions import SendAttempt
from balancer.events import Outcome
from balancer.settings import Limits
from sidecar.clock import Clock
from sidecar.discovery.endpoint_list import parse_endpoint_list
from sidecar.upstream.attempt import Attempt
from sidecar.upstream.http_exchange import OutgoingRequest
from sidecar.upstream.upstream import Upstream

LONG = {"dialTimeoutUs": 60_000_000}  # far longer than a test waits


def at_the_sidecar(harness: SidecarHarness) -> int:
    return harness.sidecar.open_requests


@pytest.mark.parametrize("why", ["drains", "leaves", "client gone"])
def test_nothing_is_written_when_connection_is_established_too_late(why: str) -> None:
    # Guards rule 3 (a drain that is told while the dial is under way) and an attempt that was called off.
    async def work() -> None:
        slow = SlowAcceptServer()
        await slow.fill_accept_queue()
        async with running_sidecar(bounds={"dialTimeoutUs": 15_000_000}) as harness:
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            harness.discovery.send_changes(endpoint_entry("s", slow.address))
            await wait_until(lambda: len(harness.discovery.requests) >= 3)
            client = await harness.client()
            client.send(request_bytes("lodge", timeout="15"))
            await wait_until(lambda: at_the_sidecar(harness) == 1)
            if why == "client gone":
                client.close()
                await wait_until(lambda: at_the_sidecar(harness) == 0)
            else:
                harness.discovery.send_changes(
                    endpoint_entry("s", slow.address, state="leaving" if why == "drains" else "left")
                )
                await wait_until(lambda: len(harness.discovery.requests) >= 4)
            accepted = await slow.accept()
            if why == "client gone":
                harness.sidecar.close()  # the connection itself is good and was kept
            else:
                assert (await client.read_response()).status == 503
            assert await asyncio.get_running_loop().sock_recv(accepted, 1_000) == b""
            accepted.close()
        slow.close()

    run_async(work)


async def nothing_was_written(harness: SidecarHarness, slow: SlowAcceptServer) -> None:
    """Let the late connection come up: it is good and kept, and gets nothing until the sidecar's end."""
    accepted = await slow.accept()
    harness.sidecar.close()
    assert await asyncio.get_running_loop().sock_recv(accepted, 1_000) == b""
    accepted.close()


@dataclass
class Pool:
    """Calls to one server that accepts late, and how they ended."""

    upstream: Upstream
    clock: Clock
    slow: SlowAcceptServer
    ends: list[Outcome]

    def listed(self, **changes: Any) -> None:
        listed = endpoint_entry("s-0", self.slow.address, **changes)
        self.upstream.update_endpoints(parse_endpoint_list({"version": 1, "full": True, "servers": [listed]}))

    def call(self, **how: Any) -> Attempt:
        def message(left_us: int) -> OutgoingRequest:
            return OutgoingRequest(b"GET", b"/", [(b"host", b"x")])

        attempt = Attempt("s-0", 2**60, message, lambda outcome, _: self.ends.append(outcome), **how)
        self.upstream.start(attempt)
        return attempt

    async def first_bytes(self) -> bytes:
        """What is written once the dial comes up, until the pool is closed."""
        accepted = await self.slow.accept()
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, self.upstream.close)
        with contextlib.closing(accepted):
            return await loop.sock_recv(accepted, 1_000)


@contextlib.asynccontextmanager
async def late_pool(most: int = 4) -> AsyncIterator[Pool]:
    slow = SlowAcceptServer()
    await slow.fill_accept_queue()
    clock = Clock()
    pool = Pool(Upstream(clock, Limits(connect_timeout_us=60_000_000), most, lambda: None), clock, slow, [])
    pool.listed()
    try:
        yield pool
    finally:
        pool.upstream.close()
        slow.close()


def test_attempt_whose_connection_is_established_in_time_is_written() -> None:
    async def work() -> None:
        async with late_pool() as pool:
            pool.call(send_by=2**59)
            assert (await pool.first_bytes()).startswith(b"GET / HTTP/1.1")

    run_async(work)


def test_retry_whose_window_ends_while_connecting_is_never_written() -> None:
    # Guards rule 2: a keyed repeat was decided inside its window and written after it.
    async def work() -> None:
        async with late_pool() as pool:
            pool.call(send_by=pool.clock.now() + 30_000)
            await wait_until(lambda: pool.ends == [Outcome.NOT_SENT])  # proof that nothing ran, at once
            assert await pool.first_bytes() == b""
            assert pool.ends == [Outcome.NOT_SENT]

    run_async(work)


@pytest.mark.parametrize(
    ("send_by", "outcome"), [(2**61, Outcome.CONNECT_FAILED), (2**59, Outcome.NOT_SENT)], ids=str
)
def test_early_timer_does_not_change_who_is_to_blame(send_by: int, outcome: Outcome) -> None:
    # Guards against a server to which no connection comes up and that is never ejected for it.
    async def work() -> None:
        async with late_pool() as pool:
            pool.upstream._expire(pool.call(send_by=send_by))
            assert pool.ends == [outcome]

    run_async(work)


def test_attempt_whose_window_is_over_does_not_connect() -> None:
    async def work() -> None:
        async with late_pool() as pool:
            pool.call(send_by=pool.clock.now())
            await wait_until(lambda: pool.ends == [Outcome.NOT_SENT])
            assert not pool.upstream._pool._tasks

    run_async(work)


def test_server_that_changes_its_cell_while_connecting_gets_no_retry() -> None:
    async def work() -> None:
        async with late_pool() as pool:
            pool.call()
            pool.listed(cell=2)
            assert await pool.first_bytes() == b""
            assert pool.ends == [Outcome.NOT_SENT]

    run_async(work)


def test_unwanted_attempt_is_not_written_when_connected() -> None:
    async def work() -> None:
        async with late_pool() as pool:
            there = [True]
            pool.call(is_wanted=lambda: there[0])
            there[0] = False
            assert await pool.first_bytes() == b""
            assert pool.ends == [Outcome.NOT_SENT]

    run_async(work)


def test_cancelled_attempt_that_was_not_written_is_reported_as_not_sent() -> None:
    async def work() -> None:
        async with late_pool() as pool:
            call = pool.call()
            pool.upstream.cancel(call)
            pool.upstream.cancel_unwritten(call)
            await wait_until(lambda: pool.ends == [Outcome.NOT_SENT])
            assert await pool.first_bytes() == b""

    run_async(work)


def test_connection_that_outlives_its_attempt_counts_against_the_limit_and_is_kept() -> None:
    async def work() -> None:
        async with late_pool(most=1) as pool:
            pool.upstream.cancel_unwritten(pool.call())
            pool.call()  # no room: the first is still coming up
            await wait_until(lambda: pool.ends == [Outcome.NOT_SENT] * 2)
            accepted = await pool.slow.accept()
            await wait_until(
                lambda: not pool.upstream._pool._tasks and len(pool.upstream._pool._endpoint_of) == 1
            )
            pool.call()  # goes over what has come up
            assert (await asyncio.get_running_loop().sock_recv(accepted, 1_000)).startswith(b"GET /")
            accepted.close()

    run_async(work)


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("how", ["end", "reset"])
def test_request_is_not_forwarded_after_disconnect_while_connecting(may_cancel: bool, how: str) -> None:
    # Guards the operators' 0.3 s.  Where attempts may not be cancelled, one that is not written is none yet.
    async def work() -> None:
        slow = SlowAcceptServer()
        await slow.fill_accept_queue()
        async with running_sidecar(bounds={**LONG, "mayCancel": may_cancel}) as harness:
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            harness.discovery.send_changes(endpoint_entry("s", slow.address))
            await wait_until(lambda: len(harness.discovery.requests) >= 3)
            client = await harness.client()
            client.send(request_bytes("lodge", timeout="50"))
            await wait_until(lambda: at_the_sidecar(harness) == 1)
            if how == "end":
                client.close()
            else:
                client.writer.transport.abort()
            await wait_until(lambda: at_the_sidecar(harness) == 0)
            await nothing_was_written(harness, slow)
        slow.close()

    run_async(work)


def test_burst_of_disconnects_while_connecting_leaves_nothing_behind() -> None:
    async def work() -> None:
        slow = SlowAcceptServer()
        await slow.fill_accept_queue()
        async with running_sidecar(OK, bounds={**LONG, "mayCancel": False}) as harness:
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            harness.discovery.send_changes(
                endpoint_entry("s", slow.address),
                endpoint_entry("s-0", harness.servers[0].address, state="leaving"),
            )
            await wait_until(lambda: len(harness.discovery.requests) >= 3)
            for _ in range(20):
                (await harness.client()).send(request_bytes("lodge", timeout="50"))
            await wait_until(lambda: at_the_sidecar(harness) == 20)
            for client in harness.clients:
                client.close()
            await wait_until(lambda: at_the_sidecar(harness) == 0)
            assert harness.sidecar.unanswered_requests == 0 and harness.requests == []
            harness.discovery.send_changes(endpoint_entry("s-0", harness.servers[0].address, started_ms=1))
            await wait_until(lambda: len(harness.discovery.requests) >= 4)
            harness.discovery.send_changes(endpoint_entry("s", slow.address, state="left"))
            await wait_until(lambda: len(harness.discovery.requests) >= 5)
            assert (await harness.request("lodge")).status == 200
        slow.close()

    run_async(work)


def test_disconnect_of_paused_upload_is_noticed() -> None:
    # Guards against a request that waits in a dial while its client, not read from, is long gone.
    async def work() -> None:
        slow = SlowAcceptServer()
        await slow.fill_accept_queue()
        async with running_sidecar(bounds=LONG) as harness:
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            harness.discovery.send_changes(endpoint_entry("s", slow.address))
            await wait_until(lambda: len(harness.discovery.requests) >= 3)
            client = await harness.client()
            client.send(request_bytes("lodge", timeout="50", body=b"x" * 70_000, Content_Length="200000"))
            connections = harness.sidecar.downstream._connections
            await wait_until(lambda: [each.receive_progress.paused_since for each in connections] != [None])
            client.close()
            await wait_until(lambda: at_the_sidecar(harness) == 0)
            await nothing_was_written(harness, slow)
        slow.close()

    run_async(work)


def test_response_cancels_hedged_request_that_is_connecting() -> None:
    # Guards rule 1 on the socket: the second copy would be written for a request that has its answer.
    async def work() -> None:
        slow = SlowAcceptServer()
        await slow.fill_accept_queue()
        release = asyncio.Event()

        async def hold(heard: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        def hurried(harness: SidecarHarness) -> bool:
            return bool(harness.requests) and harness.sidecar._upstream._pool._connecting > 0

        bounds = {**LONG, "mayCancel": False, "secondCopies": True, "sendCap": 2}
        async with running_sidecar(hold, hold, hold, bounds=bounds) as harness:
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            balancer = harness.sidecar._balancer
            asked = asyncio.get_running_loop().create_task(harness.request("check", timeout="20"))
            await wait_until(lambda: len(harness.requests) == 1)
            (number,) = harness.sidecar._requests.numbers()
            harness.discovery.send_changes(endpoint_entry("s", slow.address))
            await wait_until(lambda: balancer.knows_endpoint("s"))
            harness.sidecar._executor.execute(
                SendAttempt(number, "s", 2**60)
            )  # as the decisions do for an overdue attempt
            await wait_until(lambda: hurried(harness))
            release.set()
            assert (await asked).status == 200
            await wait_until(lambda: at_the_sidecar(harness) == 0)
            await nothing_was_written(harness, slow)
        slow.close()

    run_async(work)


def test_retry_with_key_whose_window_ends_while_connecting_fails_the_request() -> None:
    # The whole way: first attempt broken, so it may have run; the repeat dials until the window is over.
    async def work() -> None:
        slow = SlowAcceptServer()
        await slow.fill_accept_queue()
        is_listed = asyncio.Event()

        async def broken(heard: ReceivedRequest) -> None:
            await is_listed.wait()
            heard.writer.transport.abort()

        kind = {
            "name": "amend",
            "giveUpUs": 60_000_000,
            "promiseUs": 10_000_000,
            "repeat": "idempotency_key",
            "group": "all",
            "memorySpanUs": 2_000_000,
        }
        async with running_sidecar(broken, bounds=LONG, lanes=[kind]) as harness:
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            client = await harness.client()
            client.send(request_bytes("amend", timeout="50"))
            await wait_until(lambda: len(harness.requests) == 1)
            harness.discovery.send_changes(endpoint_entry("s", slow.address))
            await wait_until(lambda: harness.sidecar._balancer.knows_endpoint("s"))
            is_listed.set()
            await wait_until(lambda: harness.sidecar._upstream._pool._connecting == 1)
            answer = await client.read_response()  # long before its time is up: the window is what ends it
            assert answer.status in (502, 503, 504)
            await wait_until(lambda: at_the_sidecar(harness) == 0)
            assert len(harness.requests) == 1
            await nothing_was_written(harness, slow)
        slow.close()

    run_async(work)


def test_no_retry_is_written_after_disconnect_that_is_not_yet_seen() -> None:
    # Guards the operators' 0.1 s in a busy process: it hears a server's answer first, and draws again, on a
    # connection that is there.
    async def work() -> None:
        warm = asyncio.Event()
        leaving: list[socket.socket] = []

        async def script(heard: ReceivedRequest) -> bytes | None:
            if not leaving:
                await warm.wait()
                return OK
            # At once, and in this order: the event loop sees both in one round.
            os.write(heard.writer.get_extra_info("socket").fileno(), FULL)
            leaving[0].close()
            return None

        async with running_sidecar(script, script) as harness:
            for count in (1, 2):
                (await harness.client()).send(request_bytes("lodge", timeout="50"))
                await wait_until(lambda sent=count: len(harness.requests) == sent)  # type: ignore[misc]
            warm.set()
            await wait_until(lambda: at_the_sidecar(harness) == 0)
            assert [len(each.requests) for each in harness.servers] == [1, 1]  # a connection to each
            leaving.append(socket.create_connection((HOST, harness.sidecar.downstream.port)))
            leaving[0].sendall(request_bytes("lodge", timeout="50"))
            await wait_until(lambda: len(harness.requests) >= 3)
            await wait_until(lambda: at_the_sidecar(harness) == 0)
            await asyncio.sleep(0.05)
            assert len(harness.requests) == 3

    run_async(work)
