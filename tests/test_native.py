"""What `build` leaves for `run`: the sources as they are, and compiled files only where they fit them."""

from __future__ import annotations

import importlib.util
import subprocess
import tomllib
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parent.parent


def load_script() -> ModuleType:
    """Import the build's script, which is in no package."""
    spec = importlib.util.spec_from_file_location("native", ROOT / "deploy" / "native.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.fixture
def native(tmp_path: Path) -> ModuleType:
    """The build's script, on a small tree of its own."""
    module = load_script()
    for name in ("balancer", "sidecar"):
        (tmp_path / name).mkdir()
        (tmp_path / name / "one.py").write_text("VALUE = 1\n")
    (tmp_path / "tools.txt").write_text("")
    module.__dict__.update(
        ROOT=tmp_path,
        NATIVE=tmp_path / "build" / "native",
        CACHE=tmp_path / "build" / "compiled",
        TOOLS=tmp_path / "tools.txt",
        COMPILED=("balancer/one.py",),
    )
    return module


def test_every_module_of_the_balancer_is_compiled_and_named_as_policy() -> None:
    module = load_script()
    not_policy = {"balancer/__init__.py", "balancer/simulator_adapter.py"}
    modules = {f"balancer/{file.name}" for file in (ROOT / "balancer").glob("*.py")} - not_policy
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    assert {name for name in module.COMPILED if name.startswith("balancer/")} == modules
    assert set(deploy["policy"]) == modules


def compiled(native: ModuleType, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Stand in for the compiler; give the contents of what it was called for."""
    calls: list[str] = []

    def compile_into(kept: Path) -> None:
        calls.append((native.ROOT / "balancer" / "one.py").read_text())
        (kept / "balancer").mkdir(parents=True)
        (kept / "balancer" / "one.so").write_text(calls[-1])

    monkeypatch.setattr(native, "compile_into", compile_into)
    return calls


def test_what_was_compiled_is_kept_until_its_source_changes(
    native: ModuleType, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a library that is older than the source it stands before.
    calls = compiled(native, monkeypatch)
    assert native.main() == native.main() == 0
    (native.ROOT / "sidecar" / "one.py").write_text("VALUE = 2\n")
    assert native.main() == 0
    assert len(calls) == 1 and (native.NATIVE / "sidecar" / "one.py").read_text() == "VALUE = 2\n"
    (native.ROOT / "balancer" / "one.py").write_text("VALUE = 3\n")
    assert native.main() == 0
    assert calls[1:] == ["VALUE = 3\n"]
    assert (native.NATIVE / "balancer" / "one.so").read_text() == "VALUE = 3\n"


def test_where_the_compiler_fails_the_sources_serve(
    native: ModuleType, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    calls = compiled(native, monkeypatch)
    assert native.main() == 0 and calls

    def broken(kept: Path) -> None:
        raise subprocess.CalledProcessError(1, "mypyc")

    monkeypatch.setattr(native, "compile_into", broken)
    (native.ROOT / "balancer" / "one.py").write_text("VALUE = 4\n")
    assert native.main() == 0
    assert (native.NATIVE / "balancer" / "one.py").read_text() == "VALUE = 4\n"
    assert not (native.NATIVE / "balancer" / "one.so").exists()
    assert "not compiled" in capsys.readouterr().err
