# Entry points: `make demo` shows the whole path, `make test` proves it.

PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := $(wildcard packages/*)
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(addprefix $(CURDIR)/,$(PACKAGES) platform)):$(CURDIR)
export PYTHONHASHSEED := 0
SEED ?= 0
COUNT ?= 20000
SEEDS ?= 50

.PHONY: setup format lint unit test demo soak fault-soak bench bench-acceptance \
	bench-spread bench-call bench-claim bench-idle capacity plots

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements-dev.txt
	touch $@

format: setup
	$(BIN)/ruff check --fix packages platform tests demo bench soak standin
	$(BIN)/ruff format packages platform tests demo bench soak standin

lint: setup
	$(BIN)/ruff format --check packages platform tests demo bench soak standin
	$(BIN)/ruff check packages platform tests demo bench soak standin
	$(BIN)/flake8 --jobs 4 packages platform tests demo bench soak standin

unit: setup
	$(BIN)/python -m pytest -n 6

test: lint unit

demo: setup
	$(BIN)/python -m demo

bench-acceptance: setup
	$(BIN)/python -m bench.acceptance

bench-spread: setup
	$(BIN)/python -m bench.spread
	$(BIN)/python -m bench.spread_faults
	$(BIN)/python -m bench.spread_state
	$(BIN)/python -m bench.spread_daemons

bench-call: setup
	$(BIN)/python -m bench.call

bench-claim: setup
	$(BIN)/python -m bench.claim

bench-idle: setup
	$(BIN)/python -m bench.idle

bench: bench-acceptance bench-spread bench-call bench-claim bench-idle capacity

capacity: setup
	$(BIN)/python -m bench.capacity

plots: setup
	$(BIN)/python -m pip install -q -r requirements-plots.txt
	$(BIN)/python -m bench.plots

fault-soak: setup
	$(BIN)/python -m soak --seed $(SEED) --count $(SEEDS)

soak: setup
	$(BIN)/python -m bench.soak --seed $(SEED) --count $(COUNT)
