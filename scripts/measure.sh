#!/usr/bin/env bash
# Runs one experiment from a fixed seed: scripts/measure.sh NAME [ARGUMENTS].
# Its table and JSON are written under measurements/.
source "$(dirname "${BASH_SOURCE[0]}")/setup.sh"
exec python -m zinniaramp.experiments "$@"
