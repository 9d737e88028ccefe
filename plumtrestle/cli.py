"""The command line: `plumtrestle`.

Exit codes: 0 the rules held, 1 one was broken, 2 what was asked for can't be done, 3 the day says nothing
(cut off, or the ground itself was late), 130 after Ctrl-C.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tomllib
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console

from plumtrestle import events as log
from plumtrestle.emulator.copies import PlayError
from plumtrestle.emulator.play import Ground
from plumtrestle.emulator.play import play as play_real
from plumtrestle.model.play import play as play_model
from plumtrestle.model.policies import POLICIES
from plumtrestle.report import tables
from plumtrestle.rules import account, judge
from plumtrestle.rules.history import History, gather
from plumtrestle.world import WorldError, draw, read, shipped, shipped_worlds

EXIT_CODES = {"kept": 0, "broken": 1}
USER_ERROR, SAYS_NOTHING, INTERRUPTED = 2, 3, 130

app = typer.Typer(
    help="Plays days of a deployment, with real copies of the sidecar or in a model, and judges them.",
    no_args_is_help=True,
    add_completion=True,
    pretty_exceptions_enable=False,
    rich_markup_mode="rich",
)
World = Annotated[str, typer.Argument(metavar="WORLD", help="A world file, or the name of a shipped one.")]
Seed = Annotated[int, typer.Option(min=0, help="Which day of the world is drawn.")]
AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]
Tree = Annotated[Path, typer.Option(help="The tree of the program, with deploy/balancer.toml.")]


def main() -> None:
    """The console script: no traceback for what a user can mend."""
    try:
        app()
    except WorldError as fault:
        for each in fault.faults:
            print(f"plumtrestle: {fault.source}: {each}", file=sys.stderr)
        sys.exit(USER_ERROR)
    except (PlayError, log.LogError) as fault:
        print(f"plumtrestle: {fault}", file=sys.stderr)
        sys.exit(USER_ERROR)
    except KeyboardInterrupt:
        print("plumtrestle: interrupted; what was played so far can be judged", file=sys.stderr)
        sys.exit(INTERRUPTED)


@app.command(epilog="Example: plumtrestle run three-copies --seed 1")
def run(
    world: World,
    seed: Seed = 1,
    out: Annotated[
        Path | None, typer.Option(help="An empty folder for the log; else below build/days.")
    ] = None,
    root: Tree = Path("."),
    build: Annotated[bool, typer.Option(help="Build the program first, as its deploy file says.")] = True,
    shards: Annotated[int, typer.Option(min=1, max=32, help="Processes of stand-in servers.")] = 2,
    workers: Annotated[int, typer.Option(min=1, max=32, help="Processes of the load.")] = 1,
    as_json: AsJson = False,
) -> None:
    """Play a day in real time with real copies of the sidecar, and judge it."""
    day = draw(read(world), seed)
    root = root.resolve()
    if build:
        build_program(root)
    folder = out or root / "build" / "days" / f"{day.world}-{seed}-{datetime.now(UTC):%Y%m%dT%H%M%S}"
    print(f"plays {day.length_us / 1e6:g} s with {len(day.copies)} copies in {folder}", file=sys.stderr)
    path = asyncio.run(play_real(day, Ground(folder.resolve(), root, shards=shards, workers=workers)))
    tell(gather(log.load(path)), as_json)


@app.command(epilog="Example: plumtrestle model zone-lost --seed 3 --policy best-of-2")
def model(
    world: World,
    seed: Seed = 1,
    policy: Annotated[str, typer.Option(help=f"Who decides: {', '.join(POLICIES)}.")] = "module",
    out: Annotated[Path | None, typer.Option(help="A file for the log; else it is not kept.")] = None,
    as_json: AsJson = False,
) -> None:
    """Play a day in virtual time, and judge it."""
    if policy not in POLICIES:
        raise PlayError(f"{policy}: no such policy: choose from {', '.join(POLICIES)}")
    day = draw(read(world), seed)
    events: list[log.Event] = []
    play_model(day, policy, events.append)
    if out is not None:
        out.parent.mkdir(parents=True, exist_ok=True)
        out.unlink(missing_ok=True)
        with log.Writer(out) as writer:
            for event in events:
                writer.write(event)
    tell(gather(events), as_json)


@app.command("judge", epilog="Example: plumtrestle judge build/days/three-copies-1-20261201T120000")
def judge_again(
    played: Annotated[Path, typer.Argument(metavar="LOG", help="A log, or the folder of a day.")],
    as_json: AsJson = False,
) -> None:
    """Judge a log again, also one of a day that was cut off."""
    tell(gather(log.load(played)), as_json)


@app.command()
def worlds() -> None:
    """List the worlds that come with the package."""
    console = Console()
    for name in shipped_worlds():
        console.print(f"[bold]{name}[/]  {shipped(name).about}", highlight=False)


def tell(history: History, as_json: bool) -> None:
    """Judge a day, print what it came to, and exit by the verdict."""
    verdict, counted = judge(history), account(history)
    if as_json:
        print(json.dumps(tables.plain(history, verdict, counted)))
    else:
        tables.show(Console(highlight=False), history, verdict, counted)
    raise typer.Exit(EXIT_CODES.get(verdict.word, SAYS_NOTHING))


def build_program(root: Path) -> None:
    """Do what the deploy file's `build` says; raise PlayError where it fails."""
    try:
        command = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["build"]
    except (OSError, KeyError, tomllib.TOMLDecodeError) as fault:
        raise PlayError(f"{root}: no deploy/balancer.toml that names `build`: {fault}") from None
    done = subprocess.run(["/bin/sh", "-c", command], cwd=root, capture_output=True, text=True, check=False)
    if done.returncode:
        raise PlayError(f"the build failed: {done.stderr.strip()[-500:]}")


if __name__ == "__main__":
    main()
