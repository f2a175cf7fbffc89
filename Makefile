# Each target that runs Python first creates the environment from the pinned requirements.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
SOURCES := savoryarch savoryarch_standins savoryarch_bench savoryarch_soak benchmarks examples tests
DEPLOYMENT ?= bertolini
ARGS ?=

.PHONY: help env demo test lint format bench guards profile capacity binary soak

help: ## list the targets
	@grep -E '^[a-z]+:.*##' Makefile | sed -E 's/:.*## /\t/' | expand -t 12

$(VENV)/.ready: requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	touch $@

env: $(VENV)/.ready ## create the environment from the pinned requirements

demo: env ## run every process on loopback and send searches and orders (DEPLOYMENT=bertolini|swan-coast)
	$(BIN)/python -m savoryarch_bench.demo --deployment $(DEPLOYMENT) $(ARGS)

lint: env ## run the formatter check, linter, type checker and shape check
	$(BIN)/black --check --quiet $(wildcard $(SOURCES))
	$(BIN)/ruff check --quiet $(wildcard $(SOURCES))
	$(BIN)/mypy $(wildcard savoryarch savoryarch_standins savoryarch_bench savoryarch_soak)
	$(BIN)/python -m tests.check_shape

format: env ## rewrite the sources with the formatter and the linter's fixes
	$(BIN)/black --quiet $(wildcard $(SOURCES))
	$(BIN)/ruff check --quiet --fix $(wildcard $(SOURCES))

test: lint ## run lint and all tests
	$(BIN)/python -m pytest $(ARGS)

bench: env ## measure searches under load against their goals and the baselines
	$(BIN)/python -m savoryarch_bench $(ARGS)

guards: env ## check that the proofs of each guard fail while the guard is disabled
	$(BIN)/python -m tests.guards $(ARGS)

soak: env ## run a random schedule of faults on real processes (ARGS="--seed N --minutes M --instances K")
	$(BIN)/python -m savoryarch_soak $(ARGS)

profile: env ## print where an instance spends its processor time (ARGS="--queries N --route find|read")
	$(BIN)/python -m benchmarks.profile_forwarding $(ARGS)

capacity: env ## print the measured slopes and the tables of docs/CAPACITY.md
	$(BIN)/python -m savoryarch_bench.capacity $(ARGS)

binary: env ## build the one-file program dist/savoryarch
	rm -rf build/site dist && mkdir dist
	$(BIN)/pip install --quiet --no-deps --target build/site --requirement requirements.txt .
	$(BIN)/shiv --site-packages build/site --entry-point savoryarch.__main__:main \
		--python '/usr/bin/env python3.11' --reproducible --output-file dist/savoryarch
