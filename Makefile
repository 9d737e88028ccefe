VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: setup test test-serial lint check native-check bench bench-ground fuzz explore membership scale path slopes line capacity rollout

FUZZ_S ?= 60
# A fixed number, so that a run does not depend on the machine; a worker mostly waits.
TEST_WORKERS ?= 6

setup: $(BIN)/ruff

$(BIN)/ruff: pyproject.toml requirements.txt
	python3 -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -e '.[dev]'
	touch $(BIN)/ruff

test: setup
	$(BIN)/python -m pytest -n $(TEST_WORKERS)

# One process, for debugging.
test-serial: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

check: lint test

# The same tests on what `build` compiles and `run` starts.
native-check: setup
	$(BIN)/python deploy/native.py
	test -n "$$(find build/native -name 'balancer*.so')"
	PYTHONPATH=build/native:. $(BIN)/python -P -m pytest -n $(TEST_WORKERS)

# This tree compared with the commit before the C parser, or with another, on pinned cores: `make bench AGAINST=COMMIT`.
bench: setup
	$(BIN)/python -m bench $(if $(AGAINST),--against $(AGAINST))

# Limits of the test bed itself: the emulator's rate, the simulation's speed and growth.
bench-ground: setup
	$(BIN)/python -m bench.ground

# The data path and one process at size, some 25 minutes: data to docs/capacity/path-*.json.
path: setup
	$(BIN)/python deploy/native.py
	$(BIN)/python -m bench.path latency
	$(BIN)/python -m bench.path rates
	$(BIN)/python -m bench.decide decide
	$(BIN)/python -m bench.decide list
	$(BIN)/python -m bench.member
	$(BIN)/python -m bench.startup ready
	$(BIN)/python -m bench.startup memory
	$(BIN)/python -m bench.startup log
	$(BIN)/python -m bench.startup telemetry
	$(BIN)/python -m bench.stages


# The codec against h11, then datagrams between sidecars, guided by coverage, FUZZ_S seconds each; findings go to build/
fuzz: setup
	$(BIN)/pip install -q --disable-pip-version-check atheris==3.0.0
	mkdir -p build/fuzz
	$(BIN)/python fuzz/fuzz_codec.py -max_total_time=$(FUZZ_S) -artifact_prefix=build/ build/fuzz fuzz/corpus
	mkdir -p build/fuzz-membership
	$(BIN)/python fuzz/fuzz_membership.py -max_total_time=$(FUZZ_S) -artifact_prefix=build/ build/fuzz-membership fuzz/corpus-membership
	mkdir -p build/fuzz-rollout
	$(BIN)/python fuzz/fuzz_rollout.py -max_total_time=$(FUZZ_S) -artifact_prefix=build/ build/fuzz-rollout fuzz/corpus-rollout

# Every order of a few events among three members of the cluster, to a greater depth than in the tests.
explore: setup
	$(BIN)/python -c 'from testbed.cluster_simulation.explore import explore; print(explore(4, 2, heal_every=3))'

# Many members on this machine, real and simulated ones, one run for each size; samples go to docs/capacity.
SIZES ?= 50 100 200 400 750

scale: setup
	for size in $(SIZES); do $(BIN)/sidecar-testbed scale --members $$size --save $(SCALE) || test $$? = 3 || exit 1; done

# Cost of membership and its detection time: tables, and the plot of docs/membership.md.
membership: setup
	$(BIN)/python -m testbed.cluster_simulation.measure

# Cost of membership for each member by cluster size, at rest and in each event: data of docs/capacity.md.
slopes: setup
	$(BIN)/python -m testbed.cluster_simulation.slopes $(CASES)

# Time until all sidecars have a response again after a discovery outage, by their number: data of docs/capacity.md.
line: setup
	$(BIN)/python -m testbed.cluster_simulation.discovery_queue

# docs/capacity.md and its plots, from the runs in docs/capacity/ and testbed/capacity/rows.toml.
capacity: setup
	$(BIN)/python -m testbed.capacity

# Time until a configuration is in force everywhere, and the cost of comparing versions: docs/capacity/rollout-*.json.
rollout: setup
	$(BIN)/python -m testbed.cluster_simulation.rollouts --save
