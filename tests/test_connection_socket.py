"""Queries of a transport's socket, and their effect after the socket was released."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from typing import Any, cast

import pytest

from sidecar.connection_socket import ConnectionSocket
from sidecar.interfaces import Transport


class SocketTransport:
    """A transport that only provides its socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def get_extra_info(self, name: str) -> Any:
        return self.sock


@pytest.fixture
def socket_pair() -> Iterator[tuple[socket.socket, socket.socket]]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    with near, far:
        yield near, far


def connection_socket(sock: socket.socket) -> ConnectionSocket:
    return ConnectionSocket(cast(Transport, SocketTransport(sock)))


def test_unread_data_and_a_closed_peer_are_reported(socket_pair: tuple[socket.socket, socket.socket]) -> None:
    near, far = socket_pair
    connection = connection_socket(near)
    assert connection.is_idle() and not connection.is_peer_closed()
    far.sendall(b"x")
    assert not connection.is_idle() and not connection.is_peer_closed()
    far.close()
    assert connection.is_peer_closed()


def test_shutdown_takes_effect_at_once_and_leaves_the_socket_open(
    socket_pair: tuple[socket.socket, socket.socket],
) -> None:
    near, far = socket_pair
    connection = connection_socket(near)
    connection.shut_down()
    assert far.recv(1) == b""
    del connection
    assert near.fileno() >= 0
    far.sendall(b"y")
    assert near.recv(1) == b"y"


def test_released_socket_affects_no_other_connection(
    socket_pair: tuple[socket.socket, socket.socket],
) -> None:
    # Guards against shutting down or polling another connection that reuses the file descriptor.
    near, far = socket_pair
    connection = connection_socket(near)
    connection.release()
    far.sendall(b"x")
    assert connection.is_idle() and not connection.is_peer_closed()
    assert connection.unread_us() == connection.unsent_bytes() == 0
    connection.shut_down(socket.SHUT_RDWR)
    near.sendall(b"y")
    assert far.recv(1) == b"y"
    connection.release()
