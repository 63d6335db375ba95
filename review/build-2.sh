#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They are Python (3.11 or later, standard library only),
# so "building" is a check that they compile; nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in ["standins-2/cbor.py", "standins-2/http1.py", "standins-2/polls.py",
         "standins-2/standins.py"] + [
        f"{n}/case.py" for n in (4, 5, 6, 7, 8)]:
    with open(path) as file:
        compile(file.read(), path, "exec")
PY
