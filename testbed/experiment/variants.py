"""What is compared: this tree, an earlier commit, a part switched off, other settings, a baseline."""

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
NEVER = 1e9


@dataclass(frozen=True, slots=True)
class Constant:
    """A constant of a decision module, and the value that takes its mechanism away."""

    module: str  # below `balancer`
    name: str
    value: float


# The mechanisms that can be switched off.
PARTS: dict[str, tuple[Constant, ...]] = {
    "reach": (Constant("subset_size", "MIN_SUBSET_SIZE", NEVER),),
    "ejection": (Constant("outlier_detection", "MAX_CONSECUTIVE_FAILURES", NEVER),),
    "window": (Constant("concurrency_window", "FREE_UTILIZATION", NEVER),),
    "cold-budget": (
        Constant("slow_start", "BUDGET_FILL_FRACTION", NEVER),
        Constant("slow_start", "BUDGET_BURST_FRACTION", NEVER),
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
    f" `commit:REV`, `off:PART` ({', '.join(PARTS)}) or `set:KEY=VALUE` of the settings, as in"
    " `set:bounds.mayCancel=false`."
)


@dataclass(frozen=True, slots=True)
class Variant:
    """One of what is compared."""

    name: str
    policy: str = "module"
    off: str | None = None
    changed: tuple[str, str] | None = None  # a key of the settings and its value, as JSON
    commit: str | None = None

    @property
    def is_real(self) -> bool:
        """Whether it can be played by real copies."""
        return self.policy == "module" and self.off is None


def variant(word: str) -> Variant:
    """Read a variant; raise RunError if there is none like it."""
    kind, _, rest = word.partition(":")
    if word in POLICIES:
        return Variant(word, policy=word)
    if kind == "off" and rest in PARTS:
        return Variant(word, off=rest)
    if kind == "set" and "." in rest.partition("=")[0] and rest.partition("=")[2]:
        key, _, value = rest.partition("=")
        return Variant(word, changed=(key, value))
    if kind == "commit" and rest:
        return Variant(word, commit=rest)
    raise RunError(f"{word}: no such variant: give {HELP}".replace("`", ""))


def _git(root: Path, *words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(["git", *words], cwd=root, capture_output=True, text=True, check=False)


def checked_out(root: Path, commit: str) -> Path:
    """A worktree of an earlier commit below build/worktrees; raise RunError if git has none."""
    named = _git(root, "rev-parse", "--verify", f"{commit}^{{commit}}")
    if named.returncode:
        raise RunError(f"commit:{commit}: git knows no such commit")
    name = named.stdout.strip()
    folder = root / "build" / "worktrees" / name[:12]
    if not folder.exists():
        folder.parent.mkdir(parents=True, exist_ok=True)
        made = _git(root, "worktree", "add", "--detach", str(folder), name)
        if made.returncode:
            raise RunError(f"commit:{commit}: {made.stderr.strip()}")
    return folder


def has_earlier_layout(root: Path) -> bool:
    """Whether a tree is of a commit from before the packages were named after their jobs."""
    return (root / EARLIER_PACKAGE).is_dir()


def digest(root: Path) -> str:
    """One name for everything that decides how a day is played: the module, the sidecar and the ground."""
    whole = hashlib.sha256()
    for name in EARLIER_PACKAGES if has_earlier_layout(root) else PACKAGES:
        for each in sorted((root / name).rglob("*.py")):
            whole.update(str(each.relative_to(root)).encode() + b"\0" + each.read_bytes())
    return whole.hexdigest()[:16]
