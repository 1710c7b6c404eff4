#!/usr/bin/env bash
# Runs one experiment: scripts/measure.sh NAME [ARGUMENTS]. Seeds have fixed defaults.
# The table is written to measurements/ as Markdown and JSON.
source "$(dirname "${BASH_SOURCE[0]}")/setup.sh"
exec python -m zinniaramp.experiments "$@"
