"""The command line: `sidecar-testbed`.

Exit codes: 0 all invariants held, 1 an invariant was violated, 2 the input is wrong or the run can't be
played, 3 the run can't be scored (its log is incomplete, or the test bed itself was late), 130 after Ctrl-C.
"""

# typer passes options by keyword, so Boolean parameters with a default are no trap for callers.
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
from testbed.experiment.compare import compare_variants, find_knees
from testbed.experiment.grid import Grid
from testbed.experiment.grid import play as play_grid
from testbed.experiment.store import Key, Store, StoreError
from testbed.experiment.variants import HELP, Variant, parse_variant
from testbed.report import tables
from testbed.report.page import render_page, result_of_run
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

EXIT_CODES = {"kept": 0, "broken": 1}  # by label of the verdict
EXIT_USER_ERROR, EXIT_NOT_SCORED, EXIT_INTERRUPTED = 2, 3, 130


class Engine(Enum):
    """What executes a scenario run: the simulation or the emulator."""

    MODEL = "model"
    EMULATOR = "emulator"


app = typer.Typer(
    help="Runs scenarios with real sidecar processes or in a simulation, and checks invariants.",
    no_args_is_help=True,
    add_completion=True,
    pretty_exceptions_enable=False,
    rich_markup_mode="rich",
)
ScenarioArgument = Annotated[
    str, typer.Argument(metavar="WORLD", help="A scenario file, or the name of a shipped scenario.")
]
SeedOption = Annotated[int, typer.Option("--seed", min=0, help="Seed that the scenario run is drawn with.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print the result as JSON.")]
RootOption = Annotated[
    Path, typer.Option("--root", help="Source tree of the sidecar, with deploy/balancer.toml.")
]
BuildOption = Annotated[
    bool, typer.Option("--build/--no-build", help="Build the sidecar first, as its deploy file says.")
]


def main() -> None:
    """Run the console script; an error that the user can fix is printed without a traceback."""
    try:
        app()
    except ScenarioError as error:
        for message in error.errors:
            print(f"sidecar-testbed: {error.source}: {message}", file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)
    except (RunError, StoreError, log.EventLogError) as error:
        print(f"sidecar-testbed: {error}", file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)
    except KeyboardInterrupt:
        print("sidecar-testbed: interrupted; `judge` can check the events logged so far", file=sys.stderr)
        sys.exit(EXIT_INTERRUPTED)


@app.command("run", epilog="Example: sidecar-testbed run three-copies --seed 1")
def run_emulator(
    scenario: ScenarioArgument,
    seed: SeedOption = 1,
    out: Annotated[
        Path | None,
        typer.Option("--out", help="Empty folder for the event log. Default: a new one in build/days."),
    ] = None,
    root: RootOption = Path(),
    build: BuildOption = True,
    shards: Annotated[
        int, typer.Option("--shards", min=1, max=32, help="Processes that run stand-in servers.")
    ] = 2,
    workers: Annotated[
        int, typer.Option("--workers", min=1, max=32, help="Processes of the load generator.")
    ] = 1,
    as_json: JsonOption = False,
) -> None:
    """Run a scenario in real time with real sidecar processes, and check its invariants."""
    scenario_run = draw_run(read_scenario(scenario), seed)
    root = root.resolve()
    if build:
        build_tree(root)
    started = f"{datetime.now(UTC):%Y%m%dT%H%M%S}"
    folder = out or root / "build" / "days" / f"{scenario_run.scenario}-{seed}-{started}"
    print(
        f"running {scenario_run.duration_us / 1e6:g} s with {len(scenario_run.replicas)} replicas"
        f" in {folder}",
        file=sys.stderr,
    )
    options = RunOptions(folder.resolve(), root, shards=shards, workers=workers)
    path = asyncio.run(run_scenario(scenario_run, options))
    check_and_exit(build_history(log.load(path)), path.with_name("report.html"), as_json=as_json)


@app.command("model", epilog="Example: sidecar-testbed model zone-lost --seed 3 --policy best-of-2")
def run_simulation(
    scenario: ScenarioArgument,
    seed: SeedOption = 1,
    policy: Annotated[
        str, typer.Option("--policy", help=f"Load-balancing policy: {', '.join(POLICIES)}.")
    ] = "module",
    out: Annotated[
        Path | None, typer.Option("--out", help="File for the event log. Default: the log is not stored.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Simulate a scenario in virtual time, and check its invariants."""
    if policy not in POLICIES:
        raise RunError(f"{policy}: no such policy: choose from {', '.join(POLICIES)}")
    scenario_run = draw_run(read_scenario(scenario), seed)
    events: list[log.Event] = []
    play_model(scenario_run, policy, events.append)
    if out is not None:
        out.parent.mkdir(parents=True, exist_ok=True)
        out.unlink(missing_ok=True)
        with log.EventLogWriter(out) as writer:
            for event in events:
                writer.write(event)
    check_and_exit(build_history(events), as_json=as_json)


@app.command("judge", epilog="Example: sidecar-testbed judge build/days/three-copies-1-20261201T120000")
def check_log(
    log_path: Annotated[
        Path, typer.Argument(metavar="LOG", help="An event log, or the folder of a scenario run.")
    ],
    as_json: JsonOption = False,
) -> None:
    """Check the invariants on a stored event log, also of a run that was interrupted."""
    check_and_exit(build_history(log.load(log_path)), as_json=as_json)


ScenariosArgument = Annotated[
    list[str], typer.Argument(metavar="WORLD...", help="Scenario files or names of shipped scenarios.")
]
VariantsOption = Annotated[list[str], typer.Option("--variant", "-v", help=HELP)]
SeedsOption = Annotated[
    int, typer.Option("--seeds", min=1, max=1_000, help="Number of seeds for each scenario, from 1.")
]
JobsOption = Annotated[
    int, typer.Option("--jobs", min=1, max=64, help="Runs at the same time; the emulator always runs one.")
]
StoreOption = Annotated[
    Path, typer.Option("--db", help="SQLite file of results; a cell that has a result there is not run.")
]


@app.command(
    "compare", epilog="Example: sidecar-testbed compare zone-lost rolling -v module -v best-of-2 --seeds 8"
)
def compare(
    scenarios: ScenariosArgument,
    variants: VariantsOption = ["module", "best-of-2", "random"],  # noqa: B006 - typer's form of a default
    seeds: SeedsOption = 5,
    engine: Annotated[
        Engine, typer.Option("--engine", help="Simulation in virtual time, or emulator with real sidecars.")
    ] = Engine.MODEL,
    jobs: JobsOption = 4,
    store_path: StoreOption = Path("build/experiments/compare.sqlite"),
    as_json: JsonOption = False,
) -> None:
    """Run scenarios with several variants, and compare the variants seed by seed."""
    grid = Grid(_read_texts(scenarios), tuple(range(1, seeds + 1)), _parse_variants(variants), engine.value)
    results = _run_grid(grid, store_path, jobs if engine is Engine.MODEL else 1)
    rows = compare_variants(results)
    if as_json:
        print(json.dumps([asdict(row) for row in rows]))
    else:
        tables.print_comparison(Console(highlight=False), rows)
    raise typer.Exit(1 if any(row.broken for row in rows) else 0)


@app.command("sweep", epilog="Example: sidecar-testbed sweep calm -v module -v random --low 1 --high 8")
def sweep(  # noqa: PLR0913 - typer makes one option of each argument
    scenarios: ScenariosArgument,
    variants: VariantsOption = ["module"],  # noqa: B006 - typer's form of a default
    seeds: SeedsOption = 2,
    low: Annotated[
        float, typer.Option("--low", min=0.01, help="Lowest request rate, as a multiple of the scenario's.")
    ] = 0.5,
    high: Annotated[
        float, typer.Option("--high", min=0.01, help="Highest request rate, as a multiple of the scenario's.")
    ] = 4.0,
    steps: Annotated[
        int, typer.Option("--steps", min=2, max=64, help="Number of rates, in a geometric series.")
    ] = 8,
    min_served: Annotated[
        float, typer.Option("--least", min=0.0, max=1.0, help="Fraction of requests that has to be served.")
    ] = 0.98,
    jobs: JobsOption = 4,
    store_path: StoreOption = Path("build/experiments/sweep.sqlite"),
    as_json: JsonOption = False,
) -> None:
    """Raise the request rate until too few requests are served, and print the highest rate before."""
    rates = tuple(round(low * (high / low) ** (step / (steps - 1)), 4) for step in range(steps))
    grid = Grid(_read_texts(scenarios), tuple(range(1, seeds + 1)), _parse_variants(variants), "model", rates)
    results = _run_grid(grid, store_path, jobs)
    max_rates = find_knees(results, min_served)
    if as_json:
        output = [
            {"world": scenario, "variant": variant_name, "knee": rate}
            for (scenario, variant_name), rate in max_rates.items()
        ]
        print(json.dumps(output))
        return
    console = Console(highlight=False)
    for (scenario, variant_name), rate in max_rates.items():
        limit = "not at the lowest rate" if rate is None else f"up to {rate:g} times the world's rate"
        console.print(f"{scenario}, {variant_name}: at least {min_served:g} is served {limit}")


@app.command(
    "report", epilog="Example: sidecar-testbed report build/experiments/compare.sqlite --out report.html"
)
def report(
    db: Annotated[Path, typer.Argument(help="The SQLite file of an experiment's results.")],
    out: Annotated[Path, typer.Option("--out", help="The HTML file to write.")] = Path("build/report.html"),
    title: Annotated[str, typer.Option("--title", help="Heading of the page.")] = "plumtrestle",
) -> None:
    """Write one self-contained HTML page of an experiment's results."""
    if not db.exists():
        raise StoreError(f"{db}: no such file")
    results = _read_results(db)
    if not results:
        raise StoreError(f"{db}: holds no results")
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(render_page(results, title))
    print(out)


def _read_texts(sources: list[str]) -> tuple[tuple[str, str], ...]:
    """Return names and texts of scenarios; raise ScenarioError for one that is not valid."""
    return tuple((read_scenario(source).name, scenario_text(source)) for source in sources)


def _parse_variants(texts: list[str]) -> tuple[Variant, ...]:
    return tuple(parse_variant(text) for text in dict.fromkeys(texts))


def _run_grid(grid: Grid, store_path: Path, jobs: int) -> list[tuple[Key, dict[str, Any]]]:
    """Run the cells that have no stored result, with a progress bar, and return the grid's results.

    Raises RunError if a cell failed; the results of the others are stored.
    """
    store = Store(store_path)
    try:
        with Progress(console=Console(stderr=True), transient=True) as progress:
            bar = progress.add_task("runs", total=None)

            def show_progress(done: int, total: int) -> None:
                progress.update(bar, completed=done, total=total)

            failed = asyncio.run(play_grid(grid, store, jobs, show_progress))
        for key, reason in failed:
            print(f"sidecar-testbed: {key.world}, seed {key.seed}, {key.variant}: {reason}", file=sys.stderr)
        if failed:
            raise RunError(f"{len(failed)} runs failed; the same command runs only those again")
        scenario_names = {name for name, _ in grid.worlds}
        variant_names = {variant.name for variant in grid.variants}
        return [
            (key, result)
            for key, result in store.results()
            if key.world in scenario_names
            and key.variant in variant_names
            and key.seed in grid.seeds
            and key.rate in grid.rates
            and key.engine == grid.engine
        ]
    finally:
        store.close()


def _read_results(store_path: Path) -> list[tuple[Key, dict[str, Any]]]:
    store = Store(store_path)
    try:
        return store.results()
    finally:
        store.close()


@app.command("scale", epilog="Example: sidecar-testbed scale --members 200 --event rest --event cut --save")
def scale(  # noqa: PLR0913 - typer makes one option of each argument
    members: Annotated[
        int, typer.Option("--members", "-n", min=2, help="Members of the cluster, all kinds together.")
    ] = 50,
    event: Annotated[
        list[Event],
        typer.Option("--event", help="Event to play and measure; may be given several times. Default: all."),
    ] = [],  # noqa: B006 - typer's form of a default
    real: Annotated[
        int, typer.Option("--real", min=0, help="Members that are processes of the sidecar.")
    ] = 4,
    off: Annotated[
        int, typer.Option("--off", min=0, help="Further sidecar processes, with membership off.")
    ] = 2,
    workers: Annotated[
        int, typer.Option("--workers", min=1, help="Worker processes that run the simulated members.")
    ] = 8,
    servers: Annotated[
        int | None,
        typer.Option(
            "--servers", min=1, max=2_000, help="Entries of the endpoint list. Default: one for each member."
        ),
    ] = None,
    seed: SeedOption = 1,
    rest_s: Annotated[
        float, typer.Option("--rest-s", help="Seconds of each of the events rest, loss and restarts.")
    ] = 40.0,
    cut_s: Annotated[
        float, typer.Option("--cut-s", help="Seconds for which regions can't reach each other.")
    ] = 60.0,
    down_s: Annotated[float, typer.Option("--down-s", help="Seconds for which discovery is down.")] = 10.0,
    loss: Annotated[
        float, typer.Option("--loss", help="Fraction of datagrams that the event loss drops.")
    ] = 0.05,
    call_ms: Annotated[
        float, typer.Option("--call-ms", help="Milliseconds that discovery takes for a request.")
    ] = 1.0,
    agree_within_s: Annotated[
        float, typer.Option("--agree-within-s", help="Seconds to wait for the end of an event.")
    ] = 400.0,
    within_s: Annotated[
        float, typer.Option("--within-s", help="Seconds that the whole run may take.")
    ] = 1_800.0,
    settles: Annotated[
        bool,
        typer.Option("--settle/--no-settle", help="Begin each event with no membership update left to send."),
    ] = True,
    root: RootOption = Path(),
    build: BuildOption = True,
    save: Annotated[
        bool, typer.Option("--save/--no-save", help="Store the samples in docs/capacity.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Run a large cluster, real sidecar processes beside simulated members, and measure its costs."""
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
        run_plan(plan, root, deployed_command(root), lambda line: print(line, file=sys.stderr))
    )
    if save:
        for path in save_results(figures, command):
            print(f"stored: {path}", file=sys.stderr)
    if as_json:
        print(json.dumps(tables.plain_samples(figures.usable)))
    else:
        tables.print_samples(Console(highlight=False), figures.usable)
    for message in (*figures.notes, *figures.faults):
        print(f"sidecar-testbed: {message}", file=sys.stderr)
    raise typer.Exit(EXIT_NOT_SCORED if figures.faults else 0)


@app.command("worlds")
def list_scenarios() -> None:
    """List the scenarios that come with the package."""
    console = Console()
    for name in shipped_scenarios():
        console.print(f"[bold]{name}[/]  {shipped_scenario(name).about}", highlight=False)


def check_and_exit(history: History, report_path: Path | None = None, *, as_json: bool) -> None:
    """Check a run's invariants, print verdict and account, and exit with the code of the verdict.

    An HTML report is written if `report_path` is given.
    """
    verdict, account = check_invariants(history), compute_account(history)
    if report_path is not None:
        title = f"{history.run.scenario}, seed {history.run.seed}"
        report_path.write_text(render_page([result_of_run(history, verdict, account)], title))
        print(f"report: {report_path}", file=sys.stderr)
    if as_json:
        print(json.dumps(tables.plain(history, verdict, account)))
    else:
        tables.print_run(Console(highlight=False), history, verdict, account)
    raise typer.Exit(EXIT_CODES.get(verdict.label, EXIT_NOT_SCORED))


if __name__ == "__main__":
    main()
