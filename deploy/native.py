"""Compiles the balancer and the HTTP codec with mypyc into `build/native`; `run` and `sim` import from there.

The compiled modules do no I/O, use no foreign transport classes and are fully typed.  The other modules of
the sidecar are copied unchanged.  Compiled files are cached, and reused while the sources, the interpreter
and the build tools are the same.  If compilation fails, the copied sources are used: the program is then the
same, but is interpreted and slower.
"""

from __future__ import annotations

import hashlib
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BUILD_DIRECTORY = ROOT / "build" / "native"
CACHE_DIRECTORY = ROOT / "build" / "compiled"
REQUIREMENTS = ROOT / "requirements-build.txt"
PACKAGES = ("balancer", "sidecar")
COMPILED_MODULES = (
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


def content_digest(files: list[Path]) -> str:
    """Return a digest of the files, the interpreter's version and the versions of the build tools."""
    hasher = hashlib.sha256(sys.version.encode() + REQUIREMENTS.read_bytes())
    for path in sorted(files):
        hasher.update(str(path.relative_to(ROOT)).encode() + b"\0" + path.read_bytes())
    return hasher.hexdigest()[:16]


def copy_packages(destination: Path) -> None:
    for name in PACKAGES:
        ignored = shutil.ignore_patterns("__pycache__", "*.so")
        shutil.copytree(ROOT / name, destination / name, ignore=ignored)


def compile_into(cache_entry: Path) -> None:
    """Compile a copy of the sources, and store the shared libraries in the cache."""
    install_command = [sys.executable, "-m", "pip", "install", "-q", "--disable-pip-version-check"]
    subprocess.run([*install_command, "-r", str(REQUIREMENTS)], check=True)
    with tempfile.TemporaryDirectory(dir=CACHE_DIRECTORY.parent) as directory:
        work = Path(directory)
        copy_packages(work)
        subprocess.run(
            [sys.executable, "-m", "mypyc", *COMPILED_MODULES],
            cwd=work,
            check=True,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        libraries = [path for path in work.rglob("*.so") if "build" not in path.relative_to(work).parts]
        # One library per module, and one that they share.
        if len(libraries) != len(COMPILED_MODULES) + 1:
            raise FileNotFoundError(
                f"compiling {len(COMPILED_MODULES)} modules produced {len(libraries)} libraries, "
                f"expected {len(COMPILED_MODULES) + 1}"
            )
        staging = work / "found"
        for path in libraries:
            target = staging / path.relative_to(work)
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(path, target)
        shutil.rmtree(CACHE_DIRECTORY, ignore_errors=True)
        CACHE_DIRECTORY.mkdir(parents=True)
        shutil.move(staging, cache_entry)


def main() -> int:
    BUILD_DIRECTORY.parent.mkdir(exist_ok=True)
    sources = [
        path for name in PACKAGES for path in (ROOT / name).rglob("*") if path.suffix in (".py", ".typed")
    ]
    source_digest = content_digest(sources)
    stamp = BUILD_DIRECTORY / "stamp"
    if stamp.exists() and stamp.read_text() == source_digest:
        return 0
    cache_entry = CACHE_DIRECTORY / content_digest([ROOT / path for path in COMPILED_MODULES])
    try:
        if not cache_entry.exists():
            compile_into(cache_entry)
    except (OSError, subprocess.CalledProcessError) as error:
        print(f"not compiled, the sources are used instead: {error}", file=sys.stderr)
    shutil.rmtree(BUILD_DIRECTORY, ignore_errors=True)
    copy_packages(BUILD_DIRECTORY)
    if cache_entry.exists():
        shutil.copytree(cache_entry, BUILD_DIRECTORY, dirs_exist_ok=True)
        stamp.write_text(source_digest)
    return 0


if __name__ == "__main__":
    sys.exit(main())
