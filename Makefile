.PHONY: build test lint run toy

build:
	sh deploy/build.sh

test: build
	.venv/bin/pip -q install -r requirements-dev.txt
	.venv/bin/python -m pytest -q

lint: build
	.venv/bin/pip -q install -r requirements-dev.txt
	.venv/bin/ruff check
	.venv/bin/ruff format --check
	.venv/bin/mypy

run: build
	PROXY_CONFIG=$${PROXY_CONFIG:-examples/config.json} .venv/bin/python -m cartdeal

toy: build
	PYTHONPATH=. .venv/bin/python examples/toy.py
