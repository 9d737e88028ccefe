"""Compiles the decisions and the codec to C, into `build/native`, where `run` and `sim` look first.

Both are pure: no I/O, no transports of foreign classes, all types known.  The rest of the sidecar is copied
as it is.  What was compiled from the same sources by the same tools is kept, so a further build takes a
moment.  Where the compiler fails, the copies stay as they are: the same program, at the interpreter's pace.
"""

from __future__ import annotations

import hashlib
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
NATIVE = ROOT / "build" / "native"
CACHE = ROOT / "build" / "compiled"
TOOLS = ROOT / "requirements-build.txt"
PACKAGES = ("balancer", "sidecar")
COMPILED = (
    "balancer/actions.py",
    "balancer/admission_control.py",
    "balancer/attempt_timeouts.py",
    "balancer/balancer.py",
    "balancer/concurrency_window.py",
    "balancer/connection_reuse.py",
    "balancer/context.py",
    "balancer/discovery_polling.py",
    "balancer/endpoint_updates.py",
    "balancer/endpoints.py",
    "balancer/events.py",
    "balancer/in_flight.py",
    "balancer/latency.py",
    "balancer/mapping_reader.py",
    "balancer/moving_average.py",
    "balancer/outlier_detection.py",
    "balancer/requests.py",
    "balancer/retry_policy.py",
    "balancer/scheduler.py",
    "balancer/selection.py",
    "balancer/settings.py",
    "balancer/settings_wire.py",
    "balancer/slow_start.py",
    "balancer/subset_size.py",
    "sidecar/http/grammar.py",
    "sidecar/http/chunked.py",
    "sidecar/http/reader.py",
    "sidecar/http/writer.py",
    "sidecar/downstream/request_validation.py",
    "sidecar/downstream/request_parsing.py",
)


def digest(files: list[Path]) -> str:
    """One name for these files' contents, this interpreter and the tools."""
    hasher = hashlib.sha256(sys.version.encode() + TOOLS.read_bytes())
    for path in sorted(files):
        hasher.update(str(path.relative_to(ROOT)).encode() + b"\0" + path.read_bytes())
    return hasher.hexdigest()[:16]


def copy_packages(into: Path) -> None:
    for name in PACKAGES:
        skipped = shutil.ignore_patterns("__pycache__", "*.so")
        shutil.copytree(ROOT / name, into / name, ignore=skipped)


def compile_into(cached: Path) -> None:
    """Compile copies of the sources, and keep the libraries that come of it."""
    wanted = [sys.executable, "-m", "pip", "install", "-q", "--disable-pip-version-check"]
    subprocess.run([*wanted, "-r", str(TOOLS)], check=True)
    with tempfile.TemporaryDirectory(dir=CACHE.parent) as folder:
        work = Path(folder)
        copy_packages(work)
        subprocess.run(
            [sys.executable, "-m", "mypyc", *COMPILED],
            cwd=work,
            check=True,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        libraries = [path for path in work.rglob("*.so") if "build" not in path.relative_to(work).parts]
        if len(libraries) != len(COMPILED) + 1:
            raise FileNotFoundError(f"{len(libraries)} libraries came of {len(COMPILED)} files")
        compiled = work / "found"
        for path in libraries:
            target = compiled / path.relative_to(work)
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(path, target)
        shutil.rmtree(CACHE, ignore_errors=True)
        CACHE.mkdir(parents=True)
        shutil.move(compiled, cached)


def main() -> int:
    NATIVE.parent.mkdir(exist_ok=True)
    sources = [
        path for name in PACKAGES for path in (ROOT / name).rglob("*") if path.suffix in (".py", ".typed")
    ]
    is_new = digest(sources)
    stamp = NATIVE / "stamp"
    if stamp.exists() and stamp.read_text() == is_new:
        return 0
    cached = CACHE / digest([ROOT / path for path in COMPILED])
    try:
        if not cached.exists():
            compile_into(cached)
    except (OSError, subprocess.CalledProcessError) as fault:
        print(f"not compiled, the sources serve as they are: {fault}", file=sys.stderr)
    shutil.rmtree(NATIVE, ignore_errors=True)
    copy_packages(NATIVE)
    if cached.exists():
        shutil.copytree(cached, NATIVE, dirs_exist_ok=True)
        stamp.write_text(is_new)
    return 0


if __name__ == "__main__":
    sys.exit(main())
