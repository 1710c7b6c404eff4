#!/usr/bin/env bash
# Runs the formatter, the linter and every feature; ends with "N passed, N failed".
source "$(dirname "${BASH_SOURCE[0]}")/setup.sh"
ruff format --check --quiet .
ruff check --quiet .
exec timeout 1800 python scripts/run_features.py
