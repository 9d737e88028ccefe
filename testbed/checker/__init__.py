"""The checker: it reads one event log, of either engine, and nothing else."""

from testbed.checker.account import Account, compute_account
from testbed.checker.invariants import Verdict, Violation, check_invariants
from testbed.checker.time_series import TimeSeries, compute_time_series

__all__ = [
    "Account",
    "TimeSeries",
    "Verdict",
    "Violation",
    "check_invariants",
    "compute_account",
    "compute_time_series",
]
