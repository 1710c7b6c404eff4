#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start beside the gateway.  The stand-ins
# are Python files that use the standard library only: they are compiled to find mistakes.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - <<'PYTHON'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in [*Path("standins2").rglob("*.py"), *Path().glob("[6-9]/play.py"), *Path().glob("10/play.py")]:
    compile(path.read_bytes(), str(path), "exec")
print("built")
PYTHON
