"""The judge: it reads one event log, of either engine, and nothing else."""

from plumtrestle.rules.judge import Breach, Verdict, judge
from plumtrestle.rules.series import Series, series
from plumtrestle.rules.worth import Account, account

__all__ = ["Account", "Breach", "Series", "Verdict", "account", "judge", "series"]
