# All targets except clean create or update the virtual environment first.
VENV ?= .venv
PYTHON = $(VENV)/bin/python
STAMP = $(VENV)/installed.stamp
SEED ?= 1
COUNT ?= 1000
SCENARIO ?= latency
SECONDS ?= 12
SEEDS ?= 1
export PYTHONPATH = $(CURDIR)

.PHONY: demo test fuzz soak model-check reference lint format types docs check bench clean

demo: $(STAMP)
	$(PYTHON) -m devtools.demo

test: $(STAMP)
	$(PYTHON) -m devtools.run_tests

fuzz: $(STAMP)
	$(PYTHON) -m devtools.fuzz --seed $(SEED) --count $(COUNT)

soak: $(STAMP)
	$(PYTHON) -m devtools.soak --seed $(SEED) --count $(SEEDS) --seconds $(SECONDS)

model-check: $(STAMP)
	$(PYTHON) -m devtools.model_check
	$(PYTHON) -m devtools.serving_model

lint: $(STAMP)
	$(VENV)/bin/ruff check --select I burdocklead devtools platform tests
	$(VENV)/bin/ruff format --check burdocklead devtools platform tests
	$(VENV)/bin/flake8 burdocklead devtools platform tests

format: $(STAMP)
	$(VENV)/bin/ruff check --select I --fix burdocklead devtools platform tests
	$(VENV)/bin/ruff format burdocklead devtools platform tests

types: $(STAMP)
	$(VENV)/bin/mypy
	cd platform && MYPYPATH=.. ../$(VENV)/bin/mypy --config-file ../pyproject.toml *.py

bench: $(STAMP)
	$(PYTHON) -m devtools.bench --scenario $(SCENARIO) --seed $(SEED) --seconds $(SECONDS)

reference: $(STAMP)
	$(PYTHON) -m devtools.reference_pages

docs: $(STAMP)
	$(VENV)/bin/sphinx-build -q -W -b html docs docs/_build

$(STAMP): pyproject.toml constraints.txt
	test -x $(PYTHON) || python3.11 -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt -e '.[dev]'
	touch $(STAMP)

clean:
	rm -rf $(VENV) docs/_build
