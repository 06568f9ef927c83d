VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
export PYTHONPATH = src

.PHONY: test demo fuzz lint format proto bench setup soak

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -e '.[dev]'
	touch $@

test: setup
	$(BIN)/python -m pytest -m "not known_red" tests
	$(BIN)/behave --no-color --format progress --tags="not @known_red" features
	-$(BIN)/behave --no-color --format progress --tags=@known_red features
	-HYPOTHESIS_PROFILE=unshrunk $(BIN)/python -m pytest -m known_red --tb=line --show-capture=no tests

demo: setup
	$(BIN)/python scripts/demo.py

fuzz: setup
	HYPOTHESIS_PROFILE=long $(BIN)/python -m pytest tests -k fuzz

SEEDS ?= 1-50

soak: setup
	$(BIN)/python -m soak --seeds $(SEEDS)

bench: setup
	$(BIN)/python -m benchmarks

lint: setup
	$(BIN)/black --check --quiet src tests features benchmarks scripts testbed deploy soak
	$(BIN)/ruff check src tests features benchmarks scripts testbed deploy soak
	$(BIN)/mypy

format: setup
	$(BIN)/black --quiet src tests features benchmarks scripts testbed deploy soak
	$(BIN)/ruff check --fix --quiet src tests features benchmarks scripts testbed deploy soak

proto: setup
	PATH=$(abspath $(BIN)):$$PATH $(BIN)/python -m grpc_tools.protoc -I src --python_out=src --pyi_out=src \
	  --grpclib_python_out=src src/jacinthcove/mesh/mesh.proto
