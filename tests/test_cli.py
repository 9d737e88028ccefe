"""The console script: exit codes, JSON output, and errors of the user without a traceback."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from loopback import run_async, wait_until
from test_emulator import processes_with_folder, small_scenario
from test_scenario import SMALL

from testbed import events as log

ROOT = Path(__file__).parent.parent
COMMAND = [sys.executable, "-m", "testbed"]


def ran(*arguments: str | Path) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [*COMMAND, *map(str, arguments)], cwd=ROOT, capture_output=True, text=True, timeout=120, check=False
    )


def test_simulated_run_and_check_of_its_log_print_the_same_json(tmp_path: Path) -> None:
    path = tmp_path / "deep" / "log.jsonl"
    first = ran("model", "calm", "--seed", "2", "--out", path, "--json")
    assert first.returncode == 0, first.stderr
    result = json.loads(first.stdout)
    assert result["verdict"] == "kept" and result["engine"] == "model" and result["served"] > 0.9
    checked = ran("judge", path, "--json")
    assert checked.returncode == 0 and json.loads(checked.stdout) == result


def test_violated_invariant_exits_with_1_and_incomplete_log_with_3(tmp_path: Path) -> None:
    path = tmp_path / "log.jsonl"
    ran("model", "three-copies", "--out", path)
    lines = path.read_text().splitlines(keepends=True)
    path.write_text("".join(lines[:200]))
    assert ran("judge", path).returncode == 3
    last = json.loads(lines[-1])["at"]
    with path.open("a") as file:
        taken = {"is": "taken", "request": 9999, "first": 9999, "copy": 0, "service_class": 0}
        file.write(json.dumps({**taken, "tenant": -1, "meant": 0, "due": 10, "at": 0}) + "\n")
        file.write(json.dumps({"is": "finished", "at": last}) + "\n")
    done = ran("judge", path)
    assert done.returncode == 1 and "was never answered" in done.stdout


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["model", "nowhere"], "no such file, and no shipped world"),
        (["model", "calm", "--policy", "luck"], "luck: no such policy: choose from module"),
        (["judge", "/nowhere/at/all"], "No such file"),
        (["run", "calm", "--root", "/nowhere"], "no deploy/balancer.toml"),
    ],
    ids=lambda value: value[0] if isinstance(value, list) else "",
)
def test_error_of_the_user_is_one_line_with_exit_code_2(arguments: list[str], message: str) -> None:
    done = ran(*arguments)
    assert done.returncode == 2 and message in done.stderr
    assert "Traceback" not in done.stderr and done.stderr.count("\n") == 1


def test_invalid_scenario_prints_all_errors(tmp_path: Path) -> None:
    path = tmp_path / "wrong.toml"
    path.write_text(SMALL.replace("share = 3", "share = -3").replace("count = 4", "count = 0"))
    done = ran("model", path)
    assert done.returncode == 2
    assert [line.split(": ")[2] for line in done.stderr.splitlines()] == [
        "classes[0].share",
        "sidecars.count",
    ]


def test_interrupted_run_leaves_a_log_and_no_processes(tmp_path: Path) -> None:
    world, out = tmp_path / "long.toml", tmp_path / "day"
    world.write_text(small_scenario().replace("seconds = 1", "seconds = 300"))
    command = [*COMMAND, "run", str(world), "--no-build", "--out", str(out), "--root", str(ROOT)]
    player = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True)

    async def work() -> None:
        part = out / "part-load-0.jsonl"
        await wait_until(lambda: part.exists() and len(processes_with_folder(out)) == 2)
        player.send_signal(signal.SIGINT)
        await wait_until(lambda: player.poll() is not None)
        await wait_until(lambda: processes_with_folder(out) == [])

    run_async(work)
    assert player.returncode == 130
    assert player.stderr is not None and "interrupted" in player.stderr.read()
    player.stderr.close()
    assert isinstance(log.load(out)[0], log.RunStarted)
    assert ran("judge", out).returncode == 3
