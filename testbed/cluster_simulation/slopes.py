"""Costs of membership for a member by cluster size, at rest and in each event: `make slopes`.

Each case runs in virtual time at several sizes and seeds and writes `docs/capacity/tier-CASE.json`.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass

from testbed.capacity.samples import Sample, save
from testbed.cluster_simulation.trial import BACK_AFTER_S, REQUESTS_PER_S, OverdueError, Trial

JOBS = 4
SIZES = (50, 100, 200, 400, 750)
ALL_SIZES = (*SIZES, 1_000)
SEEDS = (1, 2, 3)
RACK_SIZE = 40
_WARM_UP_S = 10.0
_REST_S = 120.0
_RESTARTS_S = 300.0
_RESTART_EVERY_S = 10.0  # at 750 members; at other sizes the rate for each member is the same
_RELEASE_S = 300.0
_DAILY_INTERVAL_S = 86_400.0 / 95  # between two restarts at 750 members on an ordinary day
_KNOWN_TIMEOUT_S = 900.0
_AGREEMENT_TIMEOUT_S = 1_800.0


@dataclass(frozen=True, slots=True)
class Case:
    """One event: how it is simulated, at which sizes and on which seeds."""

    run: Callable[[Trial, str], None]
    notes: str
    sizes: Sequence[int] = SIZES
    seeds: Sequence[int] = SEEDS
    large_size_seeds: Sequence[int] | None = None  # from 400 members on, if they are fewer
    loss: float = 0.0
    is_converged: bool = True

    def cells(self) -> list[tuple[int, int]]:
        """Return all pairs of size and seed, the largest size first, as it takes longest."""
        seeds = dict.fromkeys(self.sizes, self.seeds)
        if self.large_size_seeds is not None:
            seeds |= {size: self.large_size_seeds for size in self.sizes if size >= 400}
        return [(size, seed) for size in sorted(seeds, reverse=True) for seed in seeds[size]]


def _rest(trial: Trial, case: str) -> None:
    trial.cluster.run(_WARM_UP_S)
    trial.begin()
    trial.cluster.run(_REST_S)
    trial.add_costs(case)


def _load(trial: Trial, case: str) -> None:
    trial.load()
    _rest(trial, case)


def _kill(trial: Trial, case: str, count: int) -> None:
    trial.cluster.run(_WARM_UP_S)
    trial.begin()
    first = trial.seed * 7 % trial.size
    trial.kill([(first + offset) % trial.size for offset in range(count)])
    trial.until_known(_KNOWN_TIMEOUT_S)
    trial.add_costs(case)
    trial.add_detection_times(case)


def _kill_one(trial: Trial, case: str) -> None:
    _kill(trial, case, 1)


def _kill_rack(trial: Trial, case: str) -> None:
    _kill(trial, case, RACK_SIZE)


def _kill_zone(trial: Trial, case: str) -> None:
    _kill(trial, case, trial.size // 5)


def _partition(seconds: float, *, is_loaded: bool = False) -> Callable[[Trial, str], None]:
    def run(trial: Trial, case: str) -> None:
        if is_loaded:
            trial.load()
        trial.cluster.run(_WARM_UP_S)
        trial.begin()
        trial.partition(seconds)
        trial.add_costs(f"{case}-during")
        trial.begin()
        agreed_s = trial.until_agreed(_AGREEMENT_TIMEOUT_S)
        trial.add_costs(case)
        trial.add("member.agreed_after", agreed_s, "s", case, "max")

    return run


def _start_at_once(trial: Trial, case: str) -> None:
    agreed_s = trial.until_agreed(_AGREEMENT_TIMEOUT_S)
    trial.add_costs(case)
    trial.add("member.agreed_after", agreed_s, "s", case, "max")


def _restarts(trial: Trial, case: str) -> None:
    trial.cluster.run(_WARM_UP_S)
    trial.begin()
    every_s = _RESTART_EVERY_S * 750 / trial.size
    for index in range(int(_RESTARTS_S / every_s)):
        trial.cluster.queue.after(
            int((index + 0.5) * every_s * 1e6), trial.restart, (trial.seed + 7 * index) % trial.size
        )
    trial.cluster.run(_RESTARTS_S)
    trial.add_costs(case)


def _release(trial: Trial, case: str) -> None:
    trial.cluster.run(_WARM_UP_S)
    trial.begin()
    for number in range(trial.size):
        trial.cluster.queue.after(int((number + 0.5) / trial.size * _RELEASE_S * 1e6), trial.upgrade, number)
    trial.cluster.run(_RELEASE_S)
    trial.add_costs(case)
    agreed_s = trial.until_agreed(_AGREEMENT_TIMEOUT_S)
    trial.add("member.agreed_after", agreed_s, "s", case, "max")


_HEAL = (
    "halves do not hear each other; costs from the heal until all agree, and as -during while cut"
    "; deaths across the cut are not counted as wrong ones"
)
_LOADED = f"{REQUESTS_PER_S} requests a second told to each member, {_HEAL}"
CASES: dict[str, Case] = {
    "rest": Case(_rest, f"{_REST_S:g} s, all know each other", ALL_SIZES),
    "kill": Case(_kill_one, "one killed at once, until all know", ALL_SIZES),
    "rack-40": Case(
        _kill_rack, "40 killed at once, until all know; not at 50, where few are left", ALL_SIZES[1:]
    ),
    "zone": Case(_kill_zone, "a fifth killed at once, until all know", ALL_SIZES),
    "region-cut-60s": Case(_partition(60.0), _HEAL),
    "region-cut-120s": Case(_partition(120.0), _HEAL, large_size_seeds=(1, 2)),
    "region-cut-600s": Case(_partition(600.0), _HEAL, large_size_seeds=(1, 2)),
    "region-cut-3600s": Case(_partition(3_600.0), _HEAL, sizes=(100, 200, 400, 750), seeds=(1,)),
    "start-at-once": Case(
        _start_at_once,
        "everybody at the same moment, knowing nobody; costs until all agree",
        is_converged=False,
    ),
    "loss-5": Case(_rest, f"{_REST_S:g} s, 5% of all datagrams lost", loss=0.05),
    "load": Case(_load, f"{_REST_S:g} s, {REQUESTS_PER_S} requests a second told to each member"),
    "restarts": Case(
        _restarts,
        f"{_RESTARTS_S:g} s; at 750 one every {_RESTART_EVERY_S:g} s, as often a member at other sizes:"
        f" {_DAILY_INTERVAL_S / _RESTART_EVERY_S:.0f} times a day's rate; each leaves by its word and is back"
        f" {BACK_AFTER_S:g} s later",
    ),
    "release": Case(
        _release,
        f"each upgraded once within {_RELEASE_S:g} s, two processes at once for a second; agreed: after it",
    ),
    "region-cut-600s-load": Case(
        _partition(600.0, is_loaded=True), _LOADED, seeds=(1, 2), large_size_seeds=(1,)
    ),
}


def run_case(name: str, size: int, seed: int) -> list[Sample]:
    """Run a case at one size and seed; raise OverdueError if an awaited state is not reached in time."""
    case = CASES[name]
    trial = Trial(size, seed, loss=case.loss, is_converged=case.is_converged)
    case.run(trial, name)
    return trial.samples


def measure(names: Sequence[str], jobs: int = JOBS) -> None:
    """Run these cases and write each as soon as all its sizes and seeds are done."""
    with ProcessPoolExecutor(jobs) as pool:
        cells = {
            name: {cell: pool.submit(run_case, name, *cell) for cell in CASES[name].cells()} for name in names
        }
        for name, futures in cells.items():
            _write(name, futures)


def _write(name: str, futures: dict[tuple[int, int], Future[list[Sample]]]) -> None:
    """Write the file of a case; a size and seed that timed out is noted and makes it not valid."""
    samples: list[Sample] = []
    notes, valid = [CASES[name].notes, "payload bytes: headers of UDP and IP add 28 a datagram"], True
    for (size, seed), future in sorted(futures.items()):
        try:
            samples += future.result()
        except OverdueError as error:
            notes.append(f"{size} members, seed {seed}: {error}")
            valid = False
    path = save(
        f"tier-{name}",
        f'make slopes CASES="{name}"',
        samples,
        valid=valid,
        notes="; ".join(notes),
    )
    print(f"{path.name}: {len(samples)} samples{'' if valid else ', not valid'}", flush=True)


def main() -> None:
    """Run the cases named on the command line, or all."""
    names = sys.argv[1:] or list(CASES)
    unknown = [name for name in names if name not in CASES]
    if unknown:
        sys.exit(f"unknown case: {', '.join(unknown)}; allowed are {', '.join(CASES)}")
    measure(names)


if __name__ == "__main__":
    main()
