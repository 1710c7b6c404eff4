#!/usr/bin/env bash
# Installs the environment, then runs the load plan of each example deployment on a
# small fleet on loopback. Exits 0 only if every answer was complete.
source "$(dirname "${BASH_SOURCE[0]}")/setup.sh"

work=$(mktemp -d "${TMPDIR:-/tmp}/zinniaramp-quickstart.XXXXXX")
fleet=""
child=""

# Runs a command in the background and waits for it: bash runs traps during `wait`
# but not during a foreground command.
run() {
  "$@" &
  child=$!
  local status=0
  wait "$child" || status=$?
  child=""
  return "$status"
}

# Terminates the current command and fleet; runs on every exit of the script.
clean_up() {
  trap '' INT TERM
  if [ -n "$child" ]; then
    kill "$child" 2>/dev/null || true
    wait "$child" || true
  fi
  if [ -n "$fleet" ] && [ -e "$fleet/fleet.json" ]; then
    python scripts/fleet.py down --dir "$fleet"
  fi
  rm -rf "$work"
}
trap clean_up EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Runs one deployment; fails unless the load tool reports every answer as complete.
run_deployment() {
  local name=$1 status=0
  echo "== $name"
  fleet="$work/$name"
  run python scripts/fleet.py up --dir "$fleet" --example "$name" \
    --entries 2 --endpoints 4 --services 1 || return 1
  run zinniaramp load "examples/$name/plan.ini" --seed 1 --fleet "$fleet" \
    --report "$fleet/report.json" || status=$?
  run python scripts/fleet.py down --dir "$fleet" || status=1
  fleet=""
  return "$status"
}

verdict=0
for name in kilometerwerk tsurugaya; do
  run_deployment "$name" || verdict=1
done
echo "== platform: one gateway before stand-ins of the users' platform"
run python -m zinniaramp.standins.platform || verdict=1
exit "$verdict"
