VENV ?= .venv
PYTHON = $(VENV)/bin/python
SEED ?= 1

.PHONY: setup test lint demo soak model bench proto

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q --disable-pip-version-check -e '.[test]'
	touch $@

lint: setup
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

test: lint
	$(PYTHON) -m bench.run_tests

demo: setup
	$(PYTHON) -m bench.demo

soak: setup
	$(PYTHON) -m soak.run --seed $(SEED) --count $(or $(COUNT),1)

model: setup
	$(PYTHON) -m model.run --hosts $(or $(HOSTS),7 30 71) --factor $(or $(FACTOR),1) --seed $(SEED)

bench: setup
	$(PYTHON) -m bench.measure --out bench-results

proto:
	$(PYTHON) -m pip install -q -e '.[generate]'
	$(PYTHON) -m grpc_tools.protoc -I. --python_out=. --grpc_python_out=. marjoramspool/routers/peers.proto
