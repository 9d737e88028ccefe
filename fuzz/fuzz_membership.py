"""Coverage-guided fuzzing of membership datagrams: `make fuzz`.

An input is a sequence of datagrams, each preceded by one byte for its sender and one for its length.  No
input may raise an exception or make the state grow without bound, and a dropped datagram must change nothing.
"""

import random
import sys
from pathlib import Path

import atheris

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

with atheris.instrument_imports(include=["sidecar.cluster"]):
    from sidecar.cluster.limits import MAX_DATAGRAM_BYTES
    from sidecar.cluster.membership import Membership
    from sidecar.cluster.settings import MembershipSettings

SIZE = 5


def run_input(data: bytes) -> None:
    """Deliver the datagrams of one input to a member; an exception is a finding."""
    member = Membership(0, SIZE, "a", MembershipSettings(), random.Random(1), 0, 1.8e9)
    member.start(0)
    now = 0
    while len(data) > 2:
        sender, length = data[0] % (SIZE + 1), data[1]
        payload, data = data[2 : 2 + length], data[2 + length :]
        now += 50_000
        updates_before = [record.update for record in member.table.records]
        dropped_before = member.dropped.total()
        actions = member.datagram_received(now, sender, payload)
        if member.dropped.total() > dropped_before and not actions:
            assert [record.update for record in member.table.records] == updates_before, payload
        assert len(member.table) == SIZE
        assert len(member.dropped) <= 8
        assert member._updates.suspicion_count < SIZE
        assert len(member._outbox.dissemination) <= SIZE
        assert member._failure_detector.pings.relayed_count <= 32
        assert all(len(getattr(action, "payload", b"")) <= MAX_DATAGRAM_BYTES for action in actions)
        member.tick(now + 20_000)


if __name__ == "__main__":
    atheris.Setup(sys.argv, run_input)
    atheris.Fuzz()
