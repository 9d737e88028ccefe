"""The build script copies all sources, and adds compiled libraries only if they match the sources."""

from __future__ import annotations

import importlib.util
import subprocess
import tomllib
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parent.parent


def load_script() -> ModuleType:
    """Import the build script, which belongs to no package."""
    spec = importlib.util.spec_from_file_location("native", ROOT / "deploy" / "native.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.fixture
def native(tmp_path: Path) -> ModuleType:
    """The build script, applied to a small source tree in a temporary directory."""
    module = load_script()
    for name in ("balancer", "sidecar"):
        (tmp_path / name).mkdir()
        (tmp_path / name / "one.py").write_text("VALUE = 1\n")
    (tmp_path / "tools.txt").write_text("")
    module.__dict__.update(
        ROOT=tmp_path,
        BUILD_DIRECTORY=tmp_path / "build" / "native",
        CACHE_DIRECTORY=tmp_path / "build" / "compiled",
        REQUIREMENTS=tmp_path / "tools.txt",
        COMPILED_MODULES=("balancer/one.py",),
    )
    return module


def test_deploy_file_and_compiled_modules_list_every_policy_module() -> None:
    module = load_script()
    excluded = {"balancer/__init__.py", "balancer/simulator_adapter.py"}
    modules = {f"balancer/{file.name}" for file in (ROOT / "balancer").glob("*.py")} - excluded
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    assert {name for name in module.COMPILED_MODULES if name.startswith("balancer/")} == modules
    assert set(deploy["policy"]) == modules


def fake_compiler(native: ModuleType, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Replace the compiler; return the list to which each call appends the source that it compiles."""
    calls: list[str] = []

    def compile_into(cache_entry: Path) -> None:
        calls.append((native.ROOT / "balancer" / "one.py").read_text())
        (cache_entry / "balancer").mkdir(parents=True)
        (cache_entry / "balancer" / "one.so").write_text(calls[-1])

    monkeypatch.setattr(native, "compile_into", compile_into)
    return calls


def test_compiled_library_is_reused_until_its_source_changes(
    native: ModuleType, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against importing a stale library in place of a newer source file.
    calls = fake_compiler(native, monkeypatch)
    assert native.main() == native.main() == 0
    (native.ROOT / "sidecar" / "one.py").write_text("VALUE = 2\n")
    assert native.main() == 0
    assert len(calls) == 1 and (native.BUILD_DIRECTORY / "sidecar" / "one.py").read_text() == "VALUE = 2\n"
    (native.ROOT / "balancer" / "one.py").write_text("VALUE = 3\n")
    assert native.main() == 0
    assert calls[1:] == ["VALUE = 3\n"]
    assert (native.BUILD_DIRECTORY / "balancer" / "one.so").read_text() == "VALUE = 3\n"


def test_sources_are_used_if_compilation_fails(
    native: ModuleType, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    calls = fake_compiler(native, monkeypatch)
    assert native.main() == 0 and calls

    def fail(cache_entry: Path) -> None:
        raise subprocess.CalledProcessError(1, "mypyc")

    monkeypatch.setattr(native, "compile_into", fail)
    (native.ROOT / "balancer" / "one.py").write_text("VALUE = 4\n")
    assert native.main() == 0
    assert (native.BUILD_DIRECTORY / "balancer" / "one.py").read_text() == "VALUE = 4\n"
    assert not (native.BUILD_DIRECTORY / "balancer" / "one.so").exists()
    assert "not compiled" in capsys.readouterr().err
