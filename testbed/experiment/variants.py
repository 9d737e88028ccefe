"""Variants to compare: this tree, an earlier commit, a disabled mechanism, other settings, a baseline."""

from __future__ import annotations

import hashlib
import subprocess
from dataclasses import dataclass
from pathlib import Path

from testbed.emulator.replica_process import RunError
from testbed.simulation.earlier_module import EARLIER_PACKAGE
from testbed.simulation.policies import POLICIES

PACKAGES = ("balancer", "sidecar", "testbed")
EARLIER_PACKAGES = (EARLIER_PACKAGE, "micadeck", "plumtrestle")
UNREACHABLE = 1e9  # a threshold that is never reached


@dataclass(frozen=True, slots=True)
class Constant:
    """A constant of a balancer module, and the value that disables its mechanism."""

    module: str  # name within the package `balancer`
    name: str
    value: float


# Mechanisms that `off:NAME` can disable.
MECHANISMS: dict[str, tuple[Constant, ...]] = {
    "reach": (Constant("subset_size", "MIN_SUBSET_SIZE", UNREACHABLE),),
    "ejection": (Constant("outlier_detection", "MAX_CONSECUTIVE_FAILURES", UNREACHABLE),),
    "window": (Constant("concurrency_window", "FREE_UTILIZATION", UNREACHABLE),),
    "cold-budget": (
        Constant("slow_start", "BUDGET_FILL_FRACTION", UNREACHABLE),
        Constant("slow_start", "BUDGET_BURST_FRACTION", UNREACHABLE),
    ),
    "retries": (
        Constant("retry_policy", "RETRIES_PER_REQUEST", 0.0),
        Constant("retry_policy", "MAX_SAVED_REQUESTS", 0.0),
    ),
    "ghosts": (Constant("in_flight", "ABANDONED_FACTOR", 0.0),),
    "pace": (Constant("latency", "RELATIVE_LATENCY_STEP", 0.0),),
    "own-zone": (Constant("selection", "MIN_REMOTE_WEIGHT", 1.0),),
}
HELP = (
    f"`module` (this tree), a baseline ({', '.join(name for name in POLICIES if name != 'module')}),"
    f" `commit:REV`, `off:PART` ({', '.join(MECHANISMS)}) or `set:KEY=VALUE` of the settings, as in"
    " `set:bounds.mayCancel=false`."
)


@dataclass(frozen=True, slots=True)
class Variant:
    """One variant of the sidecar, or a baseline policy."""

    name: str
    policy: str = "module"
    disabled: str | None = None  # a key of MECHANISMS
    changed_setting: tuple[str, str] | None = None  # a key of the settings and its value, as JSON
    commit: str | None = None

    @property
    def runs_in_emulator(self) -> bool:
        """Whether real sidecar processes can run it; baselines and `off:PART` need the simulation."""
        return self.policy == "module" and self.disabled is None


def parse_variant(text: str) -> Variant:
    """Parse a variant of the command line; raise RunError if there is no such variant."""
    kind, _, rest = text.partition(":")
    if text in POLICIES:
        return Variant(text, policy=text)
    if kind == "off" and rest in MECHANISMS:
        return Variant(text, disabled=rest)
    if kind == "set" and "." in rest.partition("=")[0] and rest.partition("=")[2]:
        key, _, value = rest.partition("=")
        return Variant(text, changed_setting=(key, value))
    if kind == "commit" and rest:
        return Variant(text, commit=rest)
    raise RunError(f"{text}: no such variant: give {HELP}".replace("`", ""))


def _git(root: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(["git", *arguments], cwd=root, capture_output=True, text=True, check=False)


def check_out(root: Path, commit: str) -> Path:
    """Return the worktree of an earlier commit in build/worktrees, created if need be.

    Raises RunError if there is no such commit or git can't create the worktree.
    """
    resolved = _git(root, "rev-parse", "--verify", f"{commit}^{{commit}}")
    if resolved.returncode:
        raise RunError(f"commit:{commit}: git knows no such commit")
    commit_id = resolved.stdout.strip()
    folder = root / "build" / "worktrees" / commit_id[:12]
    if not folder.exists():
        folder.parent.mkdir(parents=True, exist_ok=True)
        added = _git(root, "worktree", "add", "--detach", str(folder), commit_id)
        if added.returncode:
            raise RunError(f"commit:{commit}: {added.stderr.strip()}")
    return folder


def has_earlier_layout(root: Path) -> bool:
    """Return whether a tree is of a commit with the earlier package names."""
    return (root / EARLIER_PACKAGE).is_dir()


def source_digest(root: Path) -> str:
    """Return a digest of the sources of balancer, sidecar and test bed, which all affect a scenario run."""
    hasher = hashlib.sha256()
    for name in EARLIER_PACKAGES if has_earlier_layout(root) else PACKAGES:
        for path in sorted((root / name).rglob("*.py")):
            hasher.update(str(path.relative_to(root)).encode() + b"\0" + path.read_bytes())
    return hasher.hexdigest()[:16]
