"""Division of a sidecar's sockets between clients, servers and the processes of a hot restart."""

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
    limits_of_only_process = connection_limits(2_048, 16, is_only_process=True)
    limits_of_two = connection_limits(2_048, 16, is_only_process=False)
    assert limits_of_two.downstream == limits_of_only_process.downstream
    assert 2 * limits_of_two.upstream <= limits_of_only_process.upstream
