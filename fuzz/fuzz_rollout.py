"""Coverage-guided fuzzing of rollout datagrams: `make fuzz`.

An input is a sequence of datagrams, each preceded by one byte for its sender and one for its length.  No
input may raise an exception or make the state grow without bound, and a dropped datagram must change nothing.
No datagram may change the version in force, which only the configuration file determines.
"""

import random
import sys
from pathlib import Path

import atheris

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

with atheris.instrument_imports(include=["sidecar.cluster"]):
    from sidecar.cluster.limits import MAX_DATAGRAM_BYTES
    from sidecar.cluster.member_table import MemberTable
    from sidecar.cluster.message import MAX_MEMBERS
    from sidecar.cluster.rollout import Rollout
    from sidecar.cluster.rollout_actions import ReadConfiguration
    from sidecar.cluster.settings import RolloutSettings

SIZE = 5


def run_input(data: bytes) -> None:
    """Deliver the datagrams of one input to a member; an exception is a finding."""
    member = Rollout(0, "a", MemberTable(SIZE, 0), RolloutSettings(), random.Random(1), 0, 1, 5)
    member.start(0)
    now, reads = 0, 0
    while len(data) > 2:
        sender, length = data[0] % (SIZE + 1), data[1]
        payload, data = data[2 : 2 + length], data[2 + length :]
        now += 50_000
        round_before, dropped_before = member.round, member.dropped.total()
        actions = member.datagram_received(now, sender, payload)
        if member.dropped.total() > dropped_before and not actions:
            assert member.round == round_before, payload
        actions += member.tick(now + 20_000)
        assert member.version == 1 and len(member.dropped) <= 7 and len(actions) <= 16
        assert member.round.in_force < 1 << MAX_MEMBERS and member.round.reported_behind < 1 << MAX_MEMBERS
        assert all(len(getattr(action, "payload", b"")) <= MAX_DATAGRAM_BYTES for action in actions)
        reads += sum(isinstance(action, ReadConfiguration) for action in actions)
        assert member.status(now).required_count == SIZE
    assert reads <= 2 + now / 250_000


if __name__ == "__main__":
    atheris.Setup(sys.argv, run_input)
    atheris.Fuzz()
