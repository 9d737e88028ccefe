"""What is asked of a transport's socket, and that it is left alone once that is another's."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from typing import Any, cast

import pytest

from sidecar.connection_socket import ConnectionSocket
from sidecar.interfaces import Transport


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


def connection_socket(own: socket.socket) -> ConnectionSocket:
    return ConnectionSocket(cast(Transport, Lent(own)))


def test_unread_data_and_a_closed_peer_are_reported(ends: tuple[socket.socket, socket.socket]) -> None:
    near, far = ends
    connection = connection_socket(near)
    assert connection.is_idle() and not connection.is_peer_closed()
    far.sendall(b"x")
    assert not connection.is_idle() and not connection.is_peer_closed()
    far.close()
    assert connection.is_peer_closed()


def test_shutdown_is_seen_at_once_and_the_socket_stays_open(
    ends: tuple[socket.socket, socket.socket],
) -> None:
    near, far = ends
    connection = connection_socket(near)
    connection.shut_down()
    assert far.recv(1) == b""
    del connection
    assert near.fileno() >= 0
    far.sendall(b"y")
    assert near.recv(1) == b"y"


def test_released_socket_affects_no_other_connection(ends: tuple[socket.socket, socket.socket]) -> None:
    # Guards against ending or polling whatever has the descriptor next.
    near, far = ends
    connection = connection_socket(near)
    connection.release()
    far.sendall(b"x")
    assert connection.is_idle() and not connection.is_peer_closed()
    assert connection.unread_us() == connection.unsent_bytes() == 0
    connection.shut_down(socket.SHUT_RDWR)
    near.sendall(b"y")
    assert far.recv(1) == b"y"
    connection.release()
