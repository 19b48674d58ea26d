PYTHON ?= python3
VENV := .venv
# Processes that run tests; those with real daemons run in one of them.
WORKERS ?= 4
BIN := $(VENV)/bin
# Tests that measure the memory of processes run apart from all others.
CROWDS := $(addprefix platform/src/heathertack_platform/tests/,test_caller_memory.py test_caller_crowds.py)
PACKAGES := heathertack heathertackd heathertack-cli heathertack-fakes
SOURCES := $(wildcard packages/*/pyproject.toml) platform/pyproject.toml constraints.txt

.PHONY: test demo prove measure bench soak fuzz format

$(VENV)/.installed: $(SOURCES)
	$(PYTHON) -m venv $(VENV)
	PIP_CONSTRAINT=$(CURDIR)/constraints.txt $(BIN)/pip install --quiet --disable-pip-version-check \
		$(foreach package,$(PACKAGES),-e packages/$(package)) -e platform \
		hypothesis mypy pytest pytest-asyncio pytest-xdist ruff types-docopt
	touch $@

test: $(VENV)/.installed
	$(BIN)/ruff format --check packages platform
	$(BIN)/ruff check packages platform
	$(BIN)/mypy packages/*/src platform/src
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadgroup --durations=15 $(addprefix --ignore=,$(CROWDS))
	$(BIN)/python -m pytest $(CROWDS)

demo: $(VENV)/.installed
	$(BIN)/python -m heathertack_fakes.demo --bin $(BIN)

format: $(VENV)/.installed
	$(BIN)/ruff format packages platform
	$(BIN)/ruff check --fix packages platform

measure: $(VENV)/.installed
	$(BIN)/python -m heathertack_fakes.measure

# Runs the stateful tests with more examples: make prove SEED=3 COUNT=2000
SEED ?= 1
COUNT ?= 500
prove: $(VENV)/.installed
	HYPOTHESIS_PROFILE=prove PROVE_COUNT=$(COUNT) $(BIN)/python -m pytest \
		--hypothesis-seed=$(SEED) --hypothesis-show-statistics -k runTest

bench: $(VENV)/.installed
	$(BIN)/python -m heathertack_fakes.bench --bin=$(BIN)

# Injects random faults into running processes: make soak SEED=1 COUNT=50; with
# SOAK=--planned it only stops and starts machines as planned, with SOAK=--cuts it only
# cuts machines from all targets.
soak: $(VENV)/.installed
	$(BIN)/python -m heathertack_platform.soak $(SOAK) --seed=$(SEED) --count=$(COUNT)

# Feeds bytes of other writers to all decoders: make fuzz SEED=1 COUNT=2000
fuzz: $(VENV)/.installed
	HYPOTHESIS_PROFILE=prove PROVE_COUNT=$(COUNT) $(BIN)/python -m pytest \
		--hypothesis-seed=$(SEED) -k TestFuzz
