"""Runs a program with a shifted wall clock: `python -m testbed.emulator.shifted MODULE`.

`time.time` and `time.time_ns` are ahead by `$PLUMTRESTLE_CLOCK_AHEAD` seconds; monotonic clocks are not.
"""

from __future__ import annotations

import os
import runpy
import sys
import time


def main() -> None:
    """Run a module with its wall clock ahead by `PLUMTRESTLE_CLOCK_AHEAD` seconds."""
    ahead_s = float(os.environ.get("PLUMTRESTLE_CLOCK_AHEAD", "0"))
    true_time, true_time_ns = time.time, time.time_ns
    time.time = lambda: true_time() + ahead_s
    time.time_ns = lambda: true_time_ns() + round(ahead_s * 1e9)
    del sys.argv[0]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
