#!/usr/bin/env bash
# Creates .venv, or updates it after a change of the lock file. Sourced by the other
# scripts.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
venv="$root/.venv"
stamp="$venv/.lock-sum"
sum=$(cat "$root/requirements.lock" "$root/pyproject.toml" | sha256sum)
if [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$sum" ]; then
  [ -x "$venv/bin/python" ] || python3 -m venv "$venv"
  "$venv/bin/python" -m pip install -qq --requirement "$root/requirements.lock"
  "$venv/bin/python" -m pip install -qq --no-deps --editable "$root"
  echo "$sum" > "$stamp"
fi
export PATH="$venv/bin:$PATH"
cd "$root"
