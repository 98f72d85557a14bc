PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: all install format lint test demo latency explore soak fuzz bench-policy micro membership-cost bench-vanua bench-hakepuu bench-claims bench-control bench-snapshots bench-routing bench-bundles

all: test

$(VENV)/installed: pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps -e .
	touch $@

install: $(VENV)/installed

format: install
	$(BIN)/ruff check -q --fix .
	$(BIN)/ruff format -q .

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: lint
	$(BIN)/python -m pytest

demo: install
	$(BIN)/python -m harness.demo

latency: install
	$(BIN)/python -m harness.latency

SEEDS ?= 300
SEED_START ?= 0

# SEEDS=N runs N seeds from SEED_START on; SEED=N replays one.
explore: install
	$(BIN)/python -m harness.explorer --seeds $(SEEDS) --start $(SEED_START) \
		$(if $(SEED),--seed $(SEED))

# SEEDS=N runs N seeds from SEED_START on; SEED=N replays one.
soak: SEEDS = 5
soak: install
	$(BIN)/python -m harness.soak --seeds $(SEEDS) --start $(SEED_START) \
		$(if $(SEED),--seed $(SEED))

FUZZ_SECONDS = $(if $(SECONDS),$(SECONDS),120)

fuzz: install
	$(BIN)/python -m harness.fuzz --seconds $(FUZZ_SECONDS)

bench-policy: install
	$(BIN)/python -m harness.bench_policy

micro: install
	$(BIN)/python -m harness.micro

membership-cost: install
	$(BIN)/python -m harness.membership_cost

bench-vanua: install
	$(BIN)/python -m harness.bench_deployment vanua

bench-hakepuu: install
	$(BIN)/python -m harness.bench_deployment hakepuu

.PHONY: all install format lint test demo latency explore soak fuzz bench-policy micro membership-cost bench-vanua bench-hakepuu bench-claims bench-control bench-snapshots bench-routing bench-bundles

bench-claims: install
	$(BIN)/python -m harness.claims

bench-control: install
	$(BIN)/python -m harness.bench_control

bench-bundles: install
	$(BIN)/python -m harness.bundles

bench-snapshots: install
	$(BIN)/python -m harness.bench_snapshots

bench-routing: install
	$(BIN)/python -m harness.routing_faults
