"""The judge: it reads one event log, of either engine, and nothing else."""

from testbed.rules.judge import Breach, Verdict, judge
from testbed.rules.series import Series, series
from testbed.rules.worth import Account, account

__all__ = ["Account", "Breach", "Series", "Verdict", "account", "judge", "series"]
