VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
TEST_PROCESSES ?= 4
# Run one at a time, after the others.
TESTS_APART = tests/failure/test_clients_without_control.py
PROTOS = $(wildcard wigeonfall/adapters/proto/*.proto)

.PHONY: setup test demo format lint types check binary proto

$(VENV)/.installed: requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements-dev.txt
	touch $@

setup: $(VENV)/.installed

# Status 5: no test matches the arguments.
test: setup
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) --ignore $(TESTS_APART) \
		$(PYTEST_ARGS)
	$(BIN)/python -m pytest $(TESTS_APART) $(PYTEST_ARGS) || test $$? -eq 5

demo: binary
	$(BIN)/python -m tests.fakes.demo --binary dist/wigeonfall

format: setup
	$(BIN)/ruff format .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8 wigeonfall platform tests bench

types: setup
	$(BIN)/mypy

check: lint types test

dist/wigeonfall: setup requirements.txt $(shell git ls-files wigeonfall)
	mkdir -p dist
	$(BIN)/shiv --quiet --compressed --python '/usr/bin/env python3' \
		--console-script wigeonfall --output-file $@ \
		-r requirements.txt .

binary: dist/wigeonfall

proto: setup
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --mypy_out=. \
		--grpclib_python_out=. \
		--plugin=protoc-gen-grpclib_python=$(BIN)/protoc-gen-grpclib_python \
		--plugin=protoc-gen-mypy=$(BIN)/protoc-gen-mypy $(PROTOS)
