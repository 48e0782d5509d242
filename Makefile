VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test lint format unit demo dist check-dist generate

$(STAMP): requirements.txt requirements-dev.txt constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt
	touch $@

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 orioleshore fakes bench scripts

format: $(STAMP)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

unit: $(STAMP)
	$(BIN)/python scripts/run_tests.py

test: lint unit check-dist

demo: $(STAMP)
	$(BIN)/python -m scripts.demo $(if $(ONCE),--once)

dist: $(STAMP)
	$(BIN)/python scripts/build_dist.py

check-dist: dist
	$(BIN)/python scripts/check_dist.py

# Needs the thrift compiler 0.17; the generated code is committed.
generate:
	mkdir -p orioleshore/protocol/gen
	thrift -strict --gen py:no_utf8strings=false -out orioleshore/protocol/gen \
		orioleshore/protocol/orioleshore.thrift
