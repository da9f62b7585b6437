# Two commands on a fresh machine: `make demo` and `make test`.

PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: setup test demo lint format lock

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $@

setup: $(VENV)/.installed

test: setup
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/python -m bench demo

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

lock:
	$(PYTHON) -m venv .lock-venv
	.lock-venv/bin/pip install -q .[report,dev]
	.lock-venv/bin/pip freeze --exclude damasklanding > requirements.lock
	rm -rf .lock-venv
