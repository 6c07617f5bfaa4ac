# VENV may point at an environment that already holds the pinned packages.
VENV ?= .venv
PYTHON = $(VENV)/bin/python
SOURCES = core wire daemon client standins
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(SOURCES),$(CURDIR)/packages/$(p)/src) $(CURDIR)/platform)

BENCH ?=
SITE ?=
DAY ?= quiet-1

.PHONY: platform played setup test lint check format demo soak capacity bench docs clean

ifeq ($(VENV),.venv)
setup: $(VENV)/installed
else
setup:
endif

$(VENV)/installed: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(PYTHON) || python3.11 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --constraint constraints.txt setuptools
	$(PYTHON) -m pip install --quiet --constraint constraints.txt --requirement requirements-dev.txt
	$(PYTHON) -m pip install --quiet --constraint constraints.txt --no-build-isolation \
		$(foreach p,$(SOURCES),--editable packages/$(p)) \
		--editable platform
	touch $@

lint: setup
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(VENV)/bin/lint-imports --no-cache
	$(PYTHON) scripts/generate_references.py --check

format: setup
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

check: setup
	$(PYTHON) scripts/run_tests.py

test: lint check

docs: setup
	$(PYTHON) scripts/generate_references.py

SEEDS ?= 1-50

soak: setup
	PYTHONPATH=$(PYTHONPATH):$(CURDIR)/tests/platform $(PYTHON) tests/soak/soak_run.py --seeds $(SEEDS)

demo: setup
	$(PYTHON) scripts/demo.py

capacity: setup
	$(PYTHON) scripts/measure_capacity.py

bench: capacity
	$(PYTHON) scripts/bench_placement.py

platform:
	@test -x "$(BENCH)" || { echo "BENCH=$(BENCH): no such program; name the users' bench"; exit 2; }
	$(BENCH) run $(SITE) $(DAY) --why "make platform"

JOURNAL ?= $(lastword $(sort $(wildcard journal/*.json)))

played: setup
	$(PYTHON) -m peridothatch_platform.played_days $(JOURNAL)

clean:
	rm -rf .venv .pytest_cache .ruff_cache .hypothesis
