"""The state of the network between two parties at a given time.

It follows from the scenario run alone, so that all processes of an engine agree on it.  Times are
microseconds since the start of the run.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec.structs import replace

from testbed.scenario.scenario_run import Fault, ScenarioRun

NEVER = 1 << 62
_BLOCKING_KINDS = ("cut", "hold")  # kinds of faults during which no bytes pass


class Link:
    """One direction of the network, from one party to another."""

    def __init__(self, run: ScenarioRun, source: str, target: str) -> None:
        self._delay_us = run.delay_us(source, target)
        self._loss = run.network.datagram_loss
        self._faults = [fault for fault in run.faults if _applies(fault, source, target)]
        self._has_no_faults = not self._faults

    def _active_faults(self, now: int) -> Iterable[Fault]:
        return (fault for fault in self._faults if fault.start_us <= now and now < _end(fault))

    def is_cut(self, now: int) -> bool:
        """Whether no bytes pass, so that no connection can be made."""
        return any(fault.kind in _BLOCKING_KINDS for fault in self._active_faults(now))

    def cut_intervals(self) -> list[tuple[int, int]]:
        """The start and end of each fault during which no bytes pass."""
        return [(fault.start_us, _end(fault)) for fault in self._faults if fault.kind in _BLOCKING_KINDS]

    def arrival(self, now: int) -> int:
        """When bytes of a connection that are sent now arrive; NEVER if a fault without end holds them."""
        if self._has_no_faults:
            return now + self._delay_us
        at, delay_us = now, self._delay_us
        for fault in self._faults:
            if fault.kind in _BLOCKING_KINDS and fault.start_us <= at < _end(fault):
                at = _end(fault)
        if at >= NEVER:
            return NEVER
        for fault in self._active_faults(now):
            if fault.kind == "delay":
                delay_us += round(fault.amount * 1e3)
        return at + delay_us

    def datagram_arrivals(self, now: int, draws: tuple[float, float, float]) -> list[int]:
        """When a datagram that is sent now arrives: no time if it is lost, two if it is duplicated.

        `draws` are random numbers from 0 to 1 that decide on loss, duplication and reordering.
        """
        loss_rate, duplication_rate, reordering_rate = self._loss, 0.0, 0.0
        for fault in self._active_faults(now):
            if fault.kind == "cut":
                return []
            if fault.kind == "loss":
                loss_rate = max(loss_rate, fault.amount)
            elif fault.kind == "double":
                duplication_rate = max(duplication_rate, fault.amount)
            elif fault.kind == "reorder":
                reordering_rate = max(reordering_rate, fault.amount)
        at = self.arrival(now)
        if draws[0] < loss_rate or at >= NEVER:
            return []
        if draws[2] < reordering_rate:
            at += 20_000 + 4 * self._delay_us  # later than some datagrams that are sent after it
        return [at, at + 1_000] if draws[1] < duplication_rate else [at]

    def resets_response(self, now: int, draw: float) -> bool:
        """Whether the connection is reset within a response that is sent now; `draw` is from 0 to 1."""
        return any(fault.kind == "reset" and draw < fault.amount for fault in self._active_faults(now))


def _end(fault: Fault) -> int:
    return fault.end_us if fault.end_us > fault.start_us else NEVER


def _applies(fault: Fault, source: str, target: str) -> bool:
    if not fault.other_parties or source == target:
        return False
    is_forward = source in fault.parties and target in fault.other_parties
    return is_forward or (fault.both_ways and source in fault.other_parties and target in fault.parties)


class Links:
    """All links of a run, each created on first use."""

    def __init__(self, run: ScenarioRun) -> None:
        self._run = _with_silence_as_cuts(run)
        self._links: dict[tuple[str, str], Link] = {}

    def between(self, source: str, target: str) -> Link:
        """The link from a source to a target, created on first use."""
        link = self._links.get((source, target))
        if link is None:
            link = self._links[source, target] = Link(self._run, source, target)
        return link


def _with_silence_as_cuts(run: ScenarioRun) -> ScenarioRun:
    """Replace each "silent" fault by a cut, both ways, between its parties and all replicas."""
    replicas = tuple(replica.party for replica in run.replicas)
    faults = []
    for fault in run.faults:
        if fault.kind == "silent":
            fault = replace(fault, kind="cut", other_parties=replicas, both_ways=True)
        faults.append(fault)
    return replace(run, faults=tuple(faults))
