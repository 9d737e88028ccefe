"""What is asked of a transport's socket, and that it is left alone once that is another's."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from typing import Any, cast

import pytest

from sidecar.roles import Transport
from sidecar.wire import Wire


class Lent:
    """A transport, as far as its socket goes."""

    def __init__(self, own: socket.socket) -> None:
        self.own = own

    def get_extra_info(self, name: str) -> Any:
        return self.own


@pytest.fixture
def ends() -> Iterator[tuple[socket.socket, socket.socket]]:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        near = socket.create_connection(listening.getsockname())
        far, _ = listening.accept()
    with near, far:
        yield near, far


def wire(own: socket.socket) -> Wire:
    return Wire(cast(Transport, Lent(own)))


def test_it_tells_what_lies_unread_and_who_has_left(ends: tuple[socket.socket, socket.socket]) -> None:
    near, far = ends
    looked_at = wire(near)
    assert looked_at.is_quiet() and not looked_at.has_left()
    far.sendall(b"x")
    assert not looked_at.is_quiet() and not looked_at.has_left()
    far.close()
    assert looked_at.has_left()


def test_an_end_is_seen_at_once_and_the_socket_stays_open(ends: tuple[socket.socket, socket.socket]) -> None:
    near, far = ends
    looked_at = wire(near)
    looked_at.end()
    assert far.recv(1) == b""
    del looked_at
    assert near.fileno() >= 0
    far.sendall(b"y")
    assert near.recv(1) == b"y"


def test_a_released_one_touches_no_other_connection(ends: tuple[socket.socket, socket.socket]) -> None:
    # Guards against ending or polling whatever has the descriptor next.
    near, far = ends
    looked_at = wire(near)
    looked_at.release()
    far.sendall(b"x")
    assert looked_at.is_quiet() and not looked_at.has_left()
    assert looked_at.unread_us() == looked_at.unsent_bytes() == 0
    looked_at.end(socket.SHUT_RDWR)
    near.sendall(b"y")
    assert far.recv(1) == b"y"
    looked_at.release()
