VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
DEPLOYMENT ?= caribfert
SEED ?= 1
EXAMPLES ?= 200
SEEDS ?= 1

.PHONY: demo test lint fuzz soak binary clean

$(STAMP): requirements/lock.txt pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements/lock.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/yuccapoint demo --deployment $(DEPLOYMENT) --seed $(SEED)

test: $(STAMP)
	$(BIN)/python tests/run.py

lint: $(STAMP)
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/flake8 src tests
	$(BIN)/mypy

fuzz: $(STAMP)
	$(BIN)/python tests/fuzz.py --seed $(SEED) --examples $(EXAMPLES)

soak: $(STAMP)
	$(BIN)/python tests/soak.py --first $(SEED) --seeds $(SEEDS)

binary: $(STAMP)
	$(BIN)/python tests/build_binary.py

clean:
	rm -rf build dist out
