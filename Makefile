PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
GENERATED := src/fireflyspur/generated
CODEGEN := $(BIN)/datamodel-codegen --input-file-type jsonschema \
	--output-model-type dataclasses.dataclass --frozen-dataclasses \
	--target-python-version 3.11 --use-standard-collections \
	--use-union-operator --disable-timestamp --use-schema-description \
	--use-field-description --strict-nullable --formatters builtin

.PHONY: all install generate format lint test lock binary demo demo-fleet

all: test

install: $(STAMP)

$(STAMP): pyproject.toml requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements.lock
	$(BIN)/python -m pip install -q --no-deps -e .
	touch $@

generate: install
	$(CODEGEN) --input src/fireflyspur/schema/settings.yaml --output $(GENERATED)/settings.py
	$(CODEGEN) --input src/fireflyspur/schema/records.yaml --output $(GENERATED)/records.py
	$(CODEGEN) --input src/fireflyspur/schema/load_mix.yaml --output $(GENERATED)/load_mix.py
	$(BIN)/python -m grpc_tools.protoc -Ifireflyspur/generated=src/fireflyspur/schema \
		--python_out=src --grpc_python_out=src fireflyspur/generated/peer.proto
	$(BIN)/python -m grpc_tools.protoc -Ifireflyspur/generated=src/fireflyspur/schema \
		--python_out=src fireflyspur/generated/peer_updates.proto
	PYTHONPATH=src $(BIN)/python -m tools.reference

format: install
	$(BIN)/ruff check -q --fix src tests tools
	$(BIN)/ruff format -q src tests tools

lint: install
	$(BIN)/ruff check -q src tests tools
	$(BIN)/ruff format -q --check src tests tools
	$(BIN)/flake8 src tests tools
	PYTHONPATH=src $(BIN)/python -m tools.reference --check

test: lint
	$(BIN)/python -m pytest -n 4 tests

binary: install
	PYTHONPATH=src $(BIN)/python -m tools.binary

demo: install
	PYTHONPATH=src $(BIN)/python -m tools.demo $(if $(KEEP),--keep)

demo-fleet: install
	PYTHONPATH=src $(BIN)/python -m tools.demo --keep

lock: install
	$(BIN)/python -m pip freeze --exclude-editable > requirements.lock
