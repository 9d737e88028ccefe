"""A policy on the simulator's wire, in place of `sim`: `python -m testbed.simulation.wire POLICY`."""

from __future__ import annotations

import sys

from balancer import simulator_adapter
from testbed.simulation.policies import POLICIES


def main() -> int:
    """Run the named policy behind the simulator's wire protocol; return the exit code."""
    name = sys.argv[1] if len(sys.argv) == 2 else ""
    if name not in POLICIES or name == "true-state":  # nobody sees the true state there
        print(f"{name}: no such policy: choose from {', '.join(POLICIES)}", file=sys.stderr)
        return 2
    setattr(simulator_adapter, "Balancer", POLICIES[name])  # noqa: B010 - the name is imported there, not offered
    return simulator_adapter.main()


if __name__ == "__main__":
    sys.exit(main())
