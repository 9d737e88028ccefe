"""The command line: `sidecar-testbed`.

Exit codes: 0 the rules held, 1 one was broken, 2 what was asked for can't be done, 3 the day says nothing
(cut off, or the ground itself was late), 130 after Ctrl-C.
"""

# typer passes its commands' flags by keyword.
# ruff: noqa: FBT002

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import asdict
from datetime import UTC, datetime
from enum import Enum
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.progress import Progress

from testbed import events as log
from testbed.checker import check_invariants, compute_account
from testbed.checker.history import History, build_history
from testbed.emulator.play import RunOptions, run_scenario
from testbed.emulator.replica_process import RunError, build_tree, deployed_command
from testbed.experiment.compare import compared, knee
from testbed.experiment.grid import Grid
from testbed.experiment.grid import play as play_grid
from testbed.experiment.store import Key, Store, StoreError
from testbed.experiment.variants import HELP, Variant, variant
from testbed.report import tables
from testbed.report.page import of_one_day, page
from testbed.scale.plan import Event, Plan, check, feasible_events
from testbed.scale.run import run_plan
from testbed.scale.save import save_results
from testbed.scenario import (
    ScenarioError,
    draw_run,
    read_scenario,
    scenario_text,
    shipped_scenario,
    shipped_scenarios,
)
from testbed.simulation.play import play as play_model
from testbed.simulation.policies import POLICIES

EXIT_CODES = {"kept": 0, "broken": 1}
USER_ERROR, SAYS_NOTHING, INTERRUPTED = 2, 3, 130


class Engine(Enum):
    """How days are played."""

    MODEL = "model"
    EMULATOR = "emulator"


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
    except ScenarioError as fault:
        for each in fault.errors:
            print(f"sidecar-testbed: {fault.source}: {each}", file=sys.stderr)
        sys.exit(USER_ERROR)
    except (RunError, StoreError, log.EventLogError) as fault:
        print(f"sidecar-testbed: {fault}", file=sys.stderr)
        sys.exit(USER_ERROR)
    except KeyboardInterrupt:
        print("sidecar-testbed: interrupted; what was played so far can be judged", file=sys.stderr)
        sys.exit(INTERRUPTED)


@app.command(epilog="Example: sidecar-testbed run three-copies --seed 1")
def run(
    world: World,
    seed: Seed = 1,
    out: Annotated[
        Path | None, typer.Option(help="An empty folder for the log; else below build/days.")
    ] = None,
    root: Tree = Path(),
    build: Annotated[bool, typer.Option(help="Build the program first, as its deploy file says.")] = True,
    shards: Annotated[int, typer.Option(min=1, max=32, help="Processes of stand-in servers.")] = 2,
    workers: Annotated[int, typer.Option(min=1, max=32, help="Processes of the load.")] = 1,
    as_json: AsJson = False,
) -> None:
    """Play a day in real time with real copies of the sidecar, and judge it."""
    day = draw_run(read_scenario(world), seed)
    root = root.resolve()
    if build:
        build_tree(root)
    folder = out or root / "build" / "days" / f"{day.scenario}-{seed}-{datetime.now(UTC):%Y%m%dT%H%M%S}"
    print(f"plays {day.duration_us / 1e6:g} s with {len(day.replicas)} copies in {folder}", file=sys.stderr)
    path = asyncio.run(run_scenario(day, RunOptions(folder.resolve(), root, shards=shards, workers=workers)))
    tell(build_history(log.load(path)), path.with_name("report.html"), as_json=as_json)


@app.command(epilog="Example: sidecar-testbed model zone-lost --seed 3 --policy best-of-2")
def model(
    world: World,
    seed: Seed = 1,
    policy: Annotated[str, typer.Option(help=f"Who decides: {', '.join(POLICIES)}.")] = "module",
    out: Annotated[Path | None, typer.Option(help="A file for the log; else it is not kept.")] = None,
    as_json: AsJson = False,
) -> None:
    """Play a day in virtual time, and judge it."""
    if policy not in POLICIES:
        raise RunError(f"{policy}: no such policy: choose from {', '.join(POLICIES)}")
    day = draw_run(read_scenario(world), seed)
    events: list[log.Event] = []
    play_model(day, policy, events.append)
    if out is not None:
        out.parent.mkdir(parents=True, exist_ok=True)
        out.unlink(missing_ok=True)
        with log.EventLogWriter(out) as writer:
            for event in events:
                writer.write(event)
    tell(build_history(events), as_json=as_json)


@app.command("judge", epilog="Example: sidecar-testbed judge build/days/three-copies-1-20261201T120000")
def judge_again(
    played: Annotated[Path, typer.Argument(metavar="LOG", help="A log, or the folder of a day.")],
    as_json: AsJson = False,
) -> None:
    """Judge a log again, also one of a day that was cut off."""
    tell(build_history(log.load(played)), as_json=as_json)


Worlds = Annotated[list[str], typer.Argument(metavar="WORLD...", help="World files or shipped worlds.")]
Variants = Annotated[list[str], typer.Option("--variant", "-v", help=HELP)]
Seeds = Annotated[int, typer.Option(min=1, max=1_000, help="How many days of each world.")]
Jobs = Annotated[int, typer.Option(min=1, max=64, help="Days played at once; real copies: one.")]
Results = Annotated[Path, typer.Option("--db", help="The SQLite file of results; what it has is not played.")]


@app.command(epilog="Example: sidecar-testbed compare zone-lost rolling -v module -v best-of-2 --seeds 8")
def compare(
    worlds: Worlds,
    variants: Variants = ["module", "best-of-2", "random"],  # noqa: B006 - typer's form of a default
    seeds: Seeds = 5,
    engine: Annotated[Engine, typer.Option(help="Virtual time, or real copies.")] = Engine.MODEL,
    jobs: Jobs = 4,
    db: Results = Path("build/experiments/compare.sqlite"),
    as_json: AsJson = False,
) -> None:
    """Play worlds by several variants, and compare them seed by seed."""
    grid = Grid(_texts(worlds), tuple(range(1, seeds + 1)), _variants(variants), engine.value)
    results = _play(grid, db, jobs if engine is Engine.MODEL else 1)
    given = compared(results)
    if as_json:
        print(json.dumps([asdict(each) for each in given]))
    else:
        tables.rows(Console(highlight=False), given)
    raise typer.Exit(1 if any(each.broken for each in given) else 0)


@app.command(epilog="Example: sidecar-testbed sweep calm -v module -v random --low 1 --high 8")
def sweep(  # noqa: PLR0913 - typer makes one option of each argument
    worlds: Worlds,
    variants: Variants = ["module"],  # noqa: B006 - typer's form of a default
    seeds: Seeds = 2,
    low: Annotated[float, typer.Option(min=0.01, help="The lowest rate, times the world's.")] = 0.5,
    high: Annotated[float, typer.Option(min=0.01, help="And the highest.")] = 4.0,
    steps: Annotated[int, typer.Option(min=2, max=64, help="Rates between them, in even ratios.")] = 8,
    least: Annotated[float, typer.Option(min=0.0, max=1.0, help="What has to be served.")] = 0.98,
    jobs: Jobs = 4,
    db: Results = Path("build/experiments/sweep.sqlite"),
    as_json: AsJson = False,
) -> None:
    """Raise the rate until less is served than wanted: the knee."""
    rates = tuple(round(low * (high / low) ** (step / (steps - 1)), 4) for step in range(steps))
    grid = Grid(_texts(worlds), tuple(range(1, seeds + 1)), _variants(variants), "model", rates)
    results = _play(grid, db, jobs)
    found = knee(results, least)
    if as_json:
        told = [{"world": world, "variant": name, "knee": rate} for (world, name), rate in found.items()]
        print(json.dumps(told))
        return
    console = Console(highlight=False)
    for (world, name), rate in found.items():
        upto = "not at the lowest rate" if rate is None else f"up to {rate:g} times the world's rate"
        console.print(f"{world}, {name}: at least {least:g} is served {upto}")


@app.command(epilog="Example: sidecar-testbed report build/experiments/compare.sqlite --out report.html")
def report(
    db: Annotated[Path, typer.Argument(help="The SQLite file of an experiment.")],
    out: Annotated[Path, typer.Option(help="The page to write.")] = Path("build/report.html"),
    title: Annotated[str, typer.Option(help="Its heading.")] = "plumtrestle",
) -> None:
    """Write one self-contained HTML page of an experiment's results."""
    if not db.exists():
        raise StoreError(f"{db}: no such file")
    results = _stored(db)
    if not results:
        raise StoreError(f"{db}: holds no results")
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(page(results, title))
    print(out)


def _texts(names: list[str]) -> tuple[tuple[str, str], ...]:
    """Names and texts of worlds, each checked."""
    return tuple((read_scenario(name).name, scenario_text(name)) for name in names)


def _variants(words: list[str]) -> tuple[Variant, ...]:
    return tuple(variant(word) for word in dict.fromkeys(words))


def _play(grid: Grid, db: Path, jobs: int) -> list[tuple[Key, dict[str, Any]]]:
    """Play what is missing under a progress bar; give the results that were asked for."""
    store = Store(db)
    try:
        with Progress(console=Console(stderr=True), transient=True) as progress:
            bar = progress.add_task("days", total=None)

            def tell(done: int, everything: int) -> None:
                progress.update(bar, completed=done, total=everything)

            failed = asyncio.run(play_grid(grid, store, jobs, tell))
        for key, why in failed:
            print(f"sidecar-testbed: {key.world}, seed {key.seed}, {key.variant}: {why}", file=sys.stderr)
        if failed:
            raise RunError(f"{len(failed)} days could not be played; run it again for what is left")
        names = {name for name, _ in grid.worlds}
        wanted = {each.name for each in grid.variants}
        return [
            (key, result)
            for key, result in store.results()
            if key.world in names
            and key.variant in wanted
            and key.seed in grid.seeds
            and key.rate in grid.rates
            and key.engine == grid.engine
        ]
    finally:
        store.close()


def _stored(db: Path) -> list[tuple[Key, dict[str, Any]]]:
    store = Store(db)
    try:
        return store.results()
    finally:
        store.close()


@app.command(epilog="Example: sidecar-testbed scale --members 200 --event rest --event cut --save")
def scale(  # noqa: PLR0913 - typer makes one option of each argument
    members: Annotated[int, typer.Option("--members", "-n", min=2, help="The tier's size.")] = 50,
    event: Annotated[
        list[Event], typer.Option(help="What happens; give it again for more. Default: all.")
    ] = [],  # noqa: B006 - typer's form of a default
    real: Annotated[int, typer.Option(min=0, help="Members that are processes of the program.")] = 4,
    off: Annotated[int, typer.Option(min=0, help="Processes beside them, with membership off.")] = 2,
    workers: Annotated[int, typer.Option(min=1, help="Processes that share the hollow members.")] = 8,
    servers: Annotated[
        int | None, typer.Option(min=1, max=2_000, help="In discovery's list. Default: one for each member.")
    ] = None,
    seed: Seed = 1,
    rest_s: Annotated[float, typer.Option(help="Of rest, loss and restarts.")] = 40.0,
    cut_s: Annotated[float, typer.Option(help="That regions lose each other.")] = 60.0,
    down_s: Annotated[float, typer.Option(help="That discovery is away.")] = 10.0,
    loss: Annotated[float, typer.Option(help="Part of the datagrams, while they are lost.")] = 0.05,
    call_ms: Annotated[float, typer.Option(help="Of discovery's time for a call.")] = 1.0,
    agree_within_s: Annotated[float, typer.Option(help="That an event's end is waited for.")] = 400.0,
    within_s: Annotated[float, typer.Option(help="The whole run's bound.")] = 1_800.0,
    settles: Annotated[
        bool, typer.Option("--settle/--no-settle", help="Begin each event as after a long rest.")
    ] = True,
    root: Tree = Path(),
    build: Annotated[bool, typer.Option(help="Build the program first, as its deploy file says.")] = True,
    save: Annotated[bool, typer.Option(help="Keep the figures below docs/capacity.")] = False,
    as_json: AsJson = False,
) -> None:
    """Play many members of one tier, real processes beside hollow ones, and measure what they cost."""
    plan = Plan(
        members=members,
        events=tuple(event) or feasible_events(members),
        real=real,
        off=off,
        workers=workers,
        servers=servers,
        seed=seed,
        rest_s=rest_s,
        cut_s=cut_s,
        down_s=down_s,
        loss=loss,
        call_ms=call_ms,
        agree_within_s=agree_within_s,
        within_s=within_s,
        settles=settles,
    )
    check(plan)
    root = root.resolve()
    if build:
        build_tree(root)
    command = "sidecar-testbed " + " ".join(sys.argv[1:])
    figures = asyncio.run(
        run_plan(plan, root, deployed_command(root), lambda text: print(text, file=sys.stderr))
    )
    if save:
        for path in save_results(figures, command):
            print(f"kept: {path}", file=sys.stderr)
    told = tables.plain_samples(figures.usable)
    if as_json:
        print(json.dumps(told))
    else:
        tables.samples(Console(highlight=False), figures.usable)
    for text in (*figures.notes, *figures.faults):
        print(f"sidecar-testbed: {text}", file=sys.stderr)
    raise typer.Exit(SAYS_NOTHING if figures.faults else 0)


@app.command()
def worlds() -> None:
    """List the worlds that come with the package."""
    console = Console()
    for name in shipped_scenarios():
        console.print(f"[bold]{name}[/]  {shipped_scenario(name).about}", highlight=False)


def tell(history: History, out: Path | None = None, *, as_json: bool) -> None:
    """Judge a day, print what it came to, write its page where one is wanted, and exit by the verdict."""
    verdict, counted = check_invariants(history), compute_account(history)
    if out is not None:
        title = f"{history.run.scenario}, seed {history.run.seed}"
        out.write_text(page([of_one_day(history, verdict, counted)], title))
        print(f"its report: {out}", file=sys.stderr)
    if as_json:
        print(json.dumps(tables.plain(history, verdict, counted)))
    else:
        tables.show(Console(highlight=False), history, verdict, counted)
    raise typer.Exit(EXIT_CODES.get(verdict.label, SAYS_NOTHING))


if __name__ == "__main__":
    main()
