"""Aggregation rounds: the algebraic laws of merging, chunks, and correct reports under random events."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sidecar.cluster.aggregation import NO_DIGESTS, AggregationRound
from sidecar.cluster.member_set import CHUNK_MEMBERS, decode_chunk, first_members, member_bit
from testbed.cluster_simulation.versions import ConfigurationFile, VersionedCluster

SIZE = 5
FEW_EXAMPLES = hypothesis_settings(max_examples=150, deadline=None, derandomize=True)


@st.composite
def rounds(draw: st.DrawFn, max_version: int = 3, max_number: int = 3) -> AggregationRound:
    min_digest, max_digest = draw(st.sampled_from([NO_DIGESTS, (4, 4), (4, 9), (7, 7)]))
    return AggregationRound(
        draw(st.integers(1, max_version)),
        draw(st.integers(1, max_number)),
        draw(st.integers(0, SIZE - 1)),
        draw(st.integers(0, 5)),
        min_digest,
        max_digest,
        draw(st.integers(0, 2**SIZE - 1)),
        draw(st.integers(0, 2**SIZE - 1)),
    )


@FEW_EXAMPLES
@given(rounds(), rounds(), rounds())
def test_merge_is_idempotent_commutative_and_associative(
    one: AggregationRound, two: AggregationRound, three: AggregationRound
) -> None:
    assert one.merged_with(one) == one
    assert one.merged_with(two) == two.merged_with(one)
    assert one.merged_with(two).merged_with(three) == one.merged_with(two.merged_with(three))
    assert one.merged_with(two).merged_with(two) == one.merged_with(two)


@FEW_EXAMPLES
@given(rounds(), rounds())
def test_merge_keeps_all_reports_of_the_greatest_key(one: AggregationRound, two: AggregationRound) -> None:
    merged = one.merged_with(two)
    assert merged.key == max(one.key, two.key)
    for part in (one, two):
        if part.key == merged.key:
            assert merged.in_force & part.in_force == part.in_force and merged.behind & merged.in_force == 0
            assert merged.min_digest <= part.min_digest and merged.max_digest >= part.max_digest


def test_in_force_takes_precedence_over_behind() -> None:
    round_ = AggregationRound(2, 1, 0, 0).with_behind(3)
    assert round_.behind == member_bit(3)
    assert round_.with_in_force(3, 9).behind == 0
    assert round_.with_in_force(3, 9).merged_with(round_) == round_.with_in_force(3, 9)


@FEW_EXAMPLES
@given(st.sets(st.integers(0, 3 * CHUNK_MEMBERS - 1), max_size=40))
def test_chunks_together_contain_the_complete_set(members: set[int]) -> None:
    bits = sum(member_bit(member) for member in members)
    round_ = AggregationRound(1, 1, 0, 0, 1, 1, bits)
    assert sum(decode_chunk(round_.chunk(number)[0], number) for number in range(3)) == bits
    assert first_members(bits, 10**6) == sorted(members)
    assert first_members(bits, 5) == sorted(members)[:5]


# Reports under random events


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["publish", "cut", "heal", "kill", "start", "run", "lose"]), st.integers(0, SIZE - 1)
    ),
    max_size=25,
)


class History:
    """A cluster under random events, with the versions that each member ever had in force."""

    def __init__(self, seed: int) -> None:
        self.cluster = VersionedCluster(SIZE, seed, is_membership_on=False)
        self.had_in_force = {number: {1} for number in range(SIZE)}
        self.newest = 1

    def apply(self, event: str, number: int) -> None:
        cluster = self.cluster
        match event:
            case "publish":
                self.newest += 1
                cluster.files[number] = ConfigurationFile.of(self.newest)
                if number in cluster.processes:
                    cluster.versioned(number).read()
            case "cut":
                cluster.is_partitioned = lambda source, target: number in (source, target)
            case "heal":
                self.heal()
            case "lose":
                cluster.loss = 0.3
            case "kill":
                cluster.kill(number)
            case "start" if number not in cluster.processes:
                cluster.start(number)
        cluster.run(0.3)

    def heal(self) -> None:
        self.cluster.is_partitioned, self.cluster.loss = lambda source, target: False, 0.0

    def settle(self) -> None:
        """Remove all faults, start all members and give all of them the newest file."""
        self.heal()
        for number in range(SIZE):
            self.cluster.files[number] = ConfigurationFile.of(self.newest)
            if number not in self.cluster.processes:
                self.cluster.start(number)
        for number in range(SIZE):
            self.cluster.versioned(number).read()
        self.cluster.run(30.0)

    def check(self) -> None:
        """Check that no round reports a version in force at a member that never had it.

        A member's own round must report that member, and must not be about an older version than its own.
        """
        for number, processes in self.cluster.processes.items():
            assert len(processes) == 1
            self.had_in_force[number].add(self.cluster.versioned(number).rollout.version)
        for process in self.cluster.versioned_processes:
            round_ = process.rollout.round
            in_force = first_members(round_.in_force, SIZE)
            assert all(round_.version in self.had_in_force[member] for member in in_force), round_
            if process.rollout.version == round_.version:
                assert process.number in in_force
            assert round_.version >= process.rollout.version


@hypothesis_settings(
    max_examples=60, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)
@given(EVENTS, st.integers(0, 1_000))
def test_no_member_is_reported_to_have_a_version_it_never_had(
    events: list[tuple[str, int]], seed: int
) -> None:
    history = History(seed)
    for event, number in events:
        history.apply(event, number)
        history.check()
    history.settle()
    history.check()
    assert history.cluster.in_force(history.newest)
    assert all(history.cluster.status(number).is_in_force_everywhere for number in range(SIZE))


def test_merged_round_has_the_earlier_start_time() -> None:
    round_ = AggregationRound(1, 1, 0, 5_000_000)
    assert round_.merged_with(replace(round_, started_at=1_000_000)).started_at == 1_000_000
