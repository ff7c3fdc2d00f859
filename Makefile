PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
SEED ?= $(shell date +%s)

.PHONY: setup test lint demo bench fuzz soak

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -e '.[dev]'
	touch $@

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

# Tests with crowds of clients measure the memory of processes, and run alone.
test: lint
	$(BIN)/python -m pytest -m "not crowd"
	$(BIN)/python -m pytest -n 0 -m crowd

demo: setup
	$(BIN)/python -m examples.demo

bench: setup
	$(BIN)/python -m benchmarks.dispatch
	$(BIN)/python -m benchmarks

soak: setup
	@echo "seed $(SEED)"
	$(BIN)/python platform/tests/soak.py --seed $(SEED)

fuzz: setup
	@echo "seed $(SEED)"
	HYPOTHESIS_PROFILE=fuzz $(BIN)/python -m pytest properties --hypothesis-seed=$(SEED)
