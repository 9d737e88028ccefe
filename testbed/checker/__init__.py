"""The judge: it reads one event log, of either engine, and nothing else."""

from testbed.checker.judge import Breach, Verdict, judge
from testbed.checker.series import Series, series
from testbed.checker.worth import Account, account

__all__ = ["Account", "Breach", "Series", "Verdict", "account", "judge", "series"]
