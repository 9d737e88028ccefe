VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: setup test lint check native-check bench bench-ground fuzz explore membership rollout

FUZZ_S ?= 60

setup: $(BIN)/ruff

$(BIN)/ruff: pyproject.toml requirements.txt
	python3 -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -e '.[dev]'
	touch $(BIN)/ruff

test: setup
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
	PYTHONPATH=build/native:. $(BIN)/python -P -m pytest

# This tree beside the commit before the C parser, or another, on pinned cores: `make bench AGAINST=COMMIT`.
bench: setup
	$(BIN)/python -m bench $(if $(AGAINST),--against $(AGAINST))

# What the proving ground itself bears: the emulator's rate, the model's pace and growth.
bench-ground: setup
	$(BIN)/python -m bench.ground

# The codec against h11, then the tier's datagrams, guided by coverage, FUZZ_S seconds each; finds go to build/
fuzz: setup
	$(BIN)/pip install -q --disable-pip-version-check atheris==3.0.0
	mkdir -p build/fuzz
	$(BIN)/python fuzz/fuzz_codec.py -max_total_time=$(FUZZ_S) -artifact_prefix=build/ build/fuzz fuzz/corpus
	mkdir -p build/fuzz-tier
	$(BIN)/python fuzz/fuzz_tier.py -max_total_time=$(FUZZ_S) -artifact_prefix=build/ build/fuzz-tier fuzz/corpus-tier
	mkdir -p build/fuzz-rollout
	$(BIN)/python fuzz/fuzz_rollout.py -max_total_time=$(FUZZ_S) -artifact_prefix=build/ build/fuzz-rollout fuzz/corpus-rollout

# Every order of a few events among three members of the tier, deeper than the tests go.
explore: setup
	$(BIN)/python -c 'from plumtrestle.tier.explore import explore; print(explore(4, 2, heal_every=3))'

# What membership costs and how quickly it finds out: tables, and the plot of docs/membership.md.
membership: setup
	$(BIN)/python -m plumtrestle.tier.measure

# Until a configuration is in force everywhere, and what comparing versions costs: docs/capacity/rollout-*.json.
rollout: setup
	$(BIN)/python -m plumtrestle.tier.rollouts --save
