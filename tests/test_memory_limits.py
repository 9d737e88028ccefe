"""The division of a process's memory between the purposes for which it holds data of its peers."""

from __future__ import annotations

import pytest

from sidecar.hot_restart import connection_limits
from sidecar.memory_limits import MAX_READ_BYTES, MemoryLimits

MB = 1 << 20
PROCESS_MB = 30
CONNECTION_BYTES = 8 << 10


@pytest.mark.parametrize("memory_mb", [48, 64, 80, 128, 192])
@pytest.mark.parametrize("sockets", [256, 512, 1_024])
def test_all_limits_together_leave_room_for_the_process_and_its_connections(
    memory_mb: int, sockets: int
) -> None:
    # Guards against limits that each fit into the memory, and together pass it.
    connections = connection_limits(sockets, 16, is_only_process=True)
    limits = MemoryLimits.of_process(memory_mb, connections.downstream, connections.upstream)
    buffers = limits.write_buffer * connections.downstream
    held = limits.requests + limits.uploads + limits.responses + buffers
    at_rest = PROCESS_MB * MB + CONNECTION_BYTES * (connections.downstream + connections.upstream)
    assert at_rest + held <= memory_mb * MB


def test_limits_never_fall_below_a_part_of_the_memory() -> None:
    limits = MemoryLimits.of_process(32, 341, 600)
    assert limits.requests + limits.uploads + limits.responses > 32 * MB // 20
    assert limits.write_buffer == 4 << 10
    assert limits.read == 16 << 10


def test_one_connection_gets_an_equal_part_up_to_a_maximum() -> None:
    limits = MemoryLimits.of_process(64, 300, 300)
    assert 8 << 10 < limits.write_buffer == int(limits.requests / 0.45 * 0.2) // 300 < 64 << 10
    assert MemoryLimits.of_process(192, 10, 10).write_buffer == 64 << 10
    assert MemoryLimits.of_process(192, 10, 10).read == MAX_READ_BYTES
