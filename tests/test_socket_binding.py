"""Binding and accepting while the system lacks resources for a moment."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

import pytest
from loopback import HOST, run_async, wait_until

from sidecar import socket_binding
from sidecar.downstream.listener import Listener
from sidecar.socket_binding import bind_datagram_socket, bind_listener, bind_with_retry

MOMENTARY_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EMFILE)
CONNECTION_ERRORS = (errno.ECONNABORTED, errno.EPROTO, errno.EHOSTUNREACH, errno.ENETDOWN)
CLIENTS = 5


def failing_first(errors: list[int], bind: Callable[[], socket.socket]) -> Callable[[], socket.socket]:
    def bind_or_fail() -> socket.socket:
        if errors:
            raise OSError(errors.pop(0), "not now")
        return bind()

    return bind_or_fail


@pytest.mark.parametrize("bind", [bind_listener, lambda address: bind_datagram_socket(address, shared=False)])
def test_address_is_bound_once_the_system_has_resources(
    bind: Callable[[tuple[str, int]], socket.socket], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a process that ends at its start because one call failed for a moment.
    monkeypatch.setattr(socket_binding, "_RETRY_S", 0.0)

    async def work() -> None:
        errors = list(MOMENTARY_ERRORS)
        bound = await bind_with_retry(failing_first(errors, lambda: bind((HOST, 0))))
        assert errors == [] and bound.getsockname()[1] > 0
        bound.close()

    run_async(work)


def test_address_in_use_is_reported_at_once() -> None:
    async def work() -> None:
        errors = [errno.EADDRINUSE, errno.EADDRINUSE]
        with pytest.raises(OSError, match="not now"):
            await bind_with_retry(failing_first(errors, lambda: bind_listener((HOST, 0))))
        assert len(errors) == 1

    run_async(work)


class FailingListener(socket.socket):
    """A listening socket whose `accept` fails in several ways before each connection."""

    def __init__(self) -> None:
        super().__init__(fileno=bind_listener((HOST, 0)).detach())
        self.errors: list[int] = []

    def accept(self) -> tuple[socket.socket, tuple[str, int]]:
        if self.errors:
            raise OSError(self.errors.pop(0), "not now")
        return super().accept()


@pytest.mark.parametrize("is_closing", [False, True])
def test_queued_connections_are_accepted_after_failed_calls(is_closing: bool) -> None:
    # Guards against requests that are reset in the listen queue, as a call failed while it was emptied.
    async def work() -> None:
        accepted: list[asyncio.BaseProtocol] = []

        def create_protocol() -> asyncio.BaseProtocol:
            accepted.append(asyncio.Protocol())
            return accepted[-1]

        listening = FailingListener()
        clients = [socket.create_connection(listening.getsockname()) for _ in range(CLIENTS)]
        listening.errors = [*CONNECTION_ERRORS, *MOMENTARY_ERRORS]
        loop_errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: loop_errors.append(context))
        listener = Listener(listening, create_protocol)
        if is_closing:
            listener.close(accept_queued=True)
        await wait_until(lambda: len(accepted) == CLIENTS)
        assert loop_errors == []
        listener.close()
        for client in clients:
            client.close()

    run_async(work)
