#!/usr/bin/env bash
# The stand-ins are Python 3.11 programs without dependencies; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PY'
import glob, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sorted(glob.glob("lib/*.py") + glob.glob("*/case.py")):
    with open(path) as f:
        compile(f.read(), path, "exec")
PY
