"""What membership costs a member as the cluster grows, in peace and in each event: `make slopes`, as data.

Each case is played in virtual time at several sizes and seeds; each writes `docs/capacity/tier-CASE.json`.
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
BEYOND = (*SIZES, 1_000)
THREE = (1, 2, 3)
RACK = 40
_WARM_S = 10.0
_REST_S = 120.0
_RESTARTS_S = 300.0
_RESTART_EVERY_S = 10.0  # at 750 members; as often for each member at other sizes
_RELEASE_S = 300.0
_A_DAY_S = 86_400.0 / 95  # between two restarts there on an ordinary day
_KNOWN_WITHIN_S = 900.0
_AGREED_WITHIN_S = 1_800.0


@dataclass(frozen=True, slots=True)
class Case:
    """One event: how it is played, at which sizes and on which seeds."""

    play: Callable[[Trial, str], None]
    notes: str
    sizes: Sequence[int] = SIZES
    seeds: Sequence[int] = THREE
    seeds_at_most: Sequence[int] | None = None  # at the largest sizes, if fewer
    loss: float = 0.0
    is_converged: bool = True

    def cells(self) -> list[tuple[int, int]]:
        """Sizes and seeds, the longest first."""
        many = dict.fromkeys(self.sizes, self.seeds)
        if self.seeds_at_most is not None:
            many |= {size: self.seeds_at_most for size in self.sizes if size >= 400}
        return [(size, seed) for size in sorted(many, reverse=True) for seed in many[size]]


def _rest(trial: Trial, case: str) -> None:
    trial.cluster.run(_WARM_S)
    trial.begin()
    trial.cluster.run(_REST_S)
    trial.costs(case)


def _loaded(trial: Trial, case: str) -> None:
    trial.load()
    _rest(trial, case)


def _killed(trial: Trial, case: str, count: int) -> None:
    trial.cluster.run(_WARM_S)
    trial.begin()
    first = trial.seed * 7 % trial.size
    trial.kill([(first + each) % trial.size for each in range(count)])
    trial.until_known(_KNOWN_WITHIN_S)
    trial.costs(case)
    trial.deaths(case)


def _one(trial: Trial, case: str) -> None:
    _killed(trial, case, 1)


def _rack(trial: Trial, case: str) -> None:
    _killed(trial, case, RACK)


def _zone(trial: Trial, case: str) -> None:
    _killed(trial, case, trial.size // 5)


def _cut(seconds: float, *, is_loaded: bool = False) -> Callable[[Trial, str], None]:
    def play(trial: Trial, case: str) -> None:
        if is_loaded:
            trial.load()
        trial.cluster.run(_WARM_S)
        trial.begin()
        trial.cut(seconds)
        trial.costs(f"{case}-during")
        trial.begin()
        agreed = trial.until_agreed(_AGREED_WITHIN_S)
        trial.costs(case)
        trial.add("member.agreed_after", agreed, "s", case, "max")

    return play


def _started(trial: Trial, case: str) -> None:
    agreed = trial.until_agreed(_AGREED_WITHIN_S)
    trial.costs(case)
    trial.add("member.agreed_after", agreed, "s", case, "max")


def _restarts(trial: Trial, case: str) -> None:
    trial.cluster.run(_WARM_S)
    trial.begin()
    every_s = _RESTART_EVERY_S * 750 / trial.size
    for turn in range(int(_RESTARTS_S / every_s)):
        trial.cluster.queue.after(
            int((turn + 0.5) * every_s * 1e6), trial.restart, (trial.seed + 7 * turn) % trial.size
        )
    trial.cluster.run(_RESTARTS_S)
    trial.costs(case)


def _release(trial: Trial, case: str) -> None:
    trial.cluster.run(_WARM_S)
    trial.begin()
    for number in range(trial.size):
        trial.cluster.queue.after(int((number + 0.5) / trial.size * _RELEASE_S * 1e6), trial.upgrade, number)
    trial.cluster.run(_RELEASE_S)
    trial.costs(case)
    agreed = trial.until_agreed(_AGREED_WITHIN_S)
    trial.add("member.agreed_after", agreed, "s", case, "max")


_HEAL = (
    "halves do not hear each other; costs from the heal until all agree, and as -during while cut"
    "; deaths across the cut are not counted as wrong ones"
)
_LOADED = f"{REQUESTS_PER_S} requests a second told to each member, {_HEAL}"
CASES: dict[str, Case] = {
    "rest": Case(_rest, f"{_REST_S:g} s, all know each other", BEYOND),
    "kill": Case(_one, "one killed at once, until all know", BEYOND),
    "rack-40": Case(_rack, "40 killed at once, until all know; not at 50, where few are left", BEYOND[1:]),
    "zone": Case(_zone, "a fifth killed at once, until all know", BEYOND),
    "region-cut-60s": Case(_cut(60.0), _HEAL),
    "region-cut-120s": Case(_cut(120.0), _HEAL, seeds_at_most=(1, 2)),
    "region-cut-600s": Case(_cut(600.0), _HEAL, seeds_at_most=(1, 2)),
    "region-cut-3600s": Case(_cut(3_600.0), _HEAL, sizes=(100, 200, 400, 750), seeds=(1,)),
    "start-at-once": Case(
        _started, "everybody at the same moment, knowing nobody; costs until all agree", is_converged=False
    ),
    "loss-5": Case(_rest, f"{_REST_S:g} s, 5% of all datagrams lost", loss=0.05),
    "load": Case(_loaded, f"{_REST_S:g} s, {REQUESTS_PER_S} requests a second told to each member"),
    "restarts": Case(
        _restarts,
        f"{_RESTARTS_S:g} s; at 750 one every {_RESTART_EVERY_S:g} s, as often a member at other sizes:"
        f" {_A_DAY_S / _RESTART_EVERY_S:.0f} times a day's rate; each leaves by its word and is back"
        f" {BACK_AFTER_S:g} s later",
    ),
    "release": Case(
        _release,
        f"each upgraded once within {_RELEASE_S:g} s, two processes at once for a second; agreed: after it",
    ),
    "region-cut-600s-load": Case(_cut(600.0, is_loaded=True), _LOADED, seeds=(1, 2), seeds_at_most=(1,)),
}


def played(name: str, size: int, seed: int) -> list[Sample]:
    """One cell; raise OverdueError where what is waited for does not come."""
    case = CASES[name]
    trial = Trial(size, seed, loss=case.loss, is_converged=case.is_converged)
    case.play(trial, name)
    return trial.samples


def measure(names: Sequence[str], jobs: int = JOBS) -> None:
    """Play these cases and write each as soon as it is whole."""
    with ProcessPoolExecutor(jobs) as pool:
        cells = {
            name: {cell: pool.submit(played, name, *cell) for cell in CASES[name].cells()} for name in names
        }
        for name, futures in cells.items():
            _write(name, futures)


def _write(name: str, futures: dict[tuple[int, int], Future[list[Sample]]]) -> None:
    """One file a case; where a cell came to no end it says so and is not valid."""
    samples: list[Sample] = []
    notes, valid = [CASES[name].notes, "payload bytes: headers of UDP and IP add 28 a datagram"], True
    for (size, seed), future in sorted(futures.items()):
        try:
            samples += future.result()
        except OverdueError as fault:
            notes.append(f"{size} members, seed {seed}: {fault}")
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
    """Play the cases that are named, or all."""
    names = sys.argv[1:] or list(CASES)
    unknown = [each for each in names if each not in CASES]
    if unknown:
        sys.exit(f"no such case: {', '.join(unknown)}; known are {', '.join(CASES)}")
    measure(names)


if __name__ == "__main__":
    main()
