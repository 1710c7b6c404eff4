#!/bin/sh
# Builds the stand-ins of the third review: compiles them, and checks that they load.
# They need Python 3.11 only; nothing is installed.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib

for path in sorted(pathlib.Path().glob("standins3/*.py")) + sorted(
    path for n in range(11, 16) for path in pathlib.Path(str(n)).glob("*.py")
):
    ast.parse(path.read_text(), str(path))
import standins3.client
import standins3.gateway
import standins3.server
import standins3.store
import standins3.trial
PYTHON
