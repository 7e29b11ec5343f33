PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: demo test lint faults format

.venv/ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch .venv/ready

demo: .venv/ready
	$(BIN)/hillthread-bench demo
	$(BIN)/hillthread-bench gateway-demo

test: .venv/ready
	$(BIN)/python tools/run_tests.py

lint: .venv/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python tools/check_layers.py

faults: .venv/ready
	$(BIN)/hillthread-bench faults

format: .venv/ready
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .
