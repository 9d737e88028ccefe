"""Runs a policy behind the simulator's wire protocol: `python -m testbed.simulation.wire POLICY`."""

from __future__ import annotations

import sys

from balancer import simulator_adapter
from testbed.simulation.policies import POLICIES


def main() -> int:
    """Run the named policy behind the simulator's wire protocol; return the exit code."""
    name = sys.argv[1] if len(sys.argv) == 2 else ""
    if name not in POLICIES or name == "true-state":  # the simulator doesn't reveal the servers' state
        print(f"{name}: no such policy: choose from {', '.join(POLICIES)}", file=sys.stderr)
        return 2
    # The adapter imports the name Balancer but doesn't export it, so mypy rejects a plain assignment.
    setattr(simulator_adapter, "Balancer", POLICIES[name])  # noqa: B010
    return simulator_adapter.main()


if __name__ == "__main__":
    sys.exit(main())
