"""The judge: it reads one event log, of either engine, and nothing else."""

from plumtrestle.rules.judge import Breach, Verdict, judge
from plumtrestle.rules.worth import Account, account

__all__ = ["Account", "Breach", "Verdict", "account", "judge"]
