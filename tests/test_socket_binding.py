"""Binding while the system lacks resources for a moment."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

import pytest
from loopback import HOST, run_async

from sidecar import socket_binding
from sidecar.socket_binding import bind_datagram_socket, bind_listener, bind_with_retry

MOMENTARY_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EMFILE)


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
