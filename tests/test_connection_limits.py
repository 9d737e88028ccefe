"""How the sockets of a sidecar are divided, alone and during a hot restart."""

from __future__ import annotations

import pytest

from sidecar.hot_restart import ConnectionLimits, connection_limits


@pytest.mark.parametrize(
    ("max_sockets", "max_admin_connections", "is_only_process", "limits"),
    [
        (64, 0, True, ConnectionLimits(8, 8)),
        (160, 0, True, ConnectionLimits(53, 59)),
        (160, 0, False, ConnectionLimits(53, 29)),
        (1_024, 16, True, ConnectionLimits(341, 619)),
        (1_024, 16, False, ConnectionLimits(341, 309)),
    ],
)
def test_sockets_are_divided_between_clients_and_servers(
    max_sockets: int, max_admin_connections: int, is_only_process: bool, limits: ConnectionLimits
) -> None:
    assert connection_limits(max_sockets, max_admin_connections, is_only_process=is_only_process) == limits


def test_clients_keep_their_limit_when_a_second_process_starts() -> None:
    alone = connection_limits(2_048, 16, is_only_process=True)
    shared = connection_limits(2_048, 16, is_only_process=False)
    assert shared.downstream == alone.downstream
    assert 2 * shared.upstream <= alone.upstream
