"""The console script: exit codes, JSON, and no traceback for what a user can mend."""

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


def test_a_modelled_day_is_told_as_json_and_judged_again_from_its_log(tmp_path: Path) -> None:
    path = tmp_path / "deep" / "log.jsonl"
    first = ran("model", "calm", "--seed", "2", "--out", path, "--json")
    assert first.returncode == 0, first.stderr
    told = json.loads(first.stdout)
    assert told["verdict"] == "kept" and told["engine"] == "model" and told["served"] > 0.9
    again = ran("judge", path, "--json")
    assert again.returncode == 0 and json.loads(again.stdout) == told


def test_a_broken_day_exits_by_1_and_one_that_was_cut_off_by_3(tmp_path: Path) -> None:
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
    ("arguments", "told"),
    [
        (["model", "nowhere"], "no such file, and no shipped world"),
        (["model", "calm", "--policy", "luck"], "luck: no such policy: choose from module"),
        (["judge", "/nowhere/at/all"], "No such file"),
        (["run", "calm", "--root", "/nowhere"], "no deploy/balancer.toml"),
    ],
    ids=lambda each: each[0] if isinstance(each, list) else "",
)
def test_what_a_user_can_mend_is_one_line_and_exit_code_2(arguments: list[str], told: str) -> None:
    done = ran(*arguments)
    assert done.returncode == 2 and told in done.stderr
    assert "Traceback" not in done.stderr and done.stderr.count("\n") == 1


def test_a_faulty_world_is_told_fault_by_fault(tmp_path: Path) -> None:
    path = tmp_path / "wrong.toml"
    path.write_text(SMALL.replace("share = 3", "share = -3").replace("count = 4", "count = 0"))
    done = ran("model", path)
    assert done.returncode == 2
    assert [line.split(": ")[2] for line in done.stderr.splitlines()] == [
        "classes[0].share",
        "sidecars.count",
    ]


def test_an_interrupted_run_leaves_a_log_and_nothing_else(tmp_path: Path) -> None:
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
