#!/bin/bash
# Prepares the cases. Their stand-ins are Python scripts (review/common/rig.py and the cases' test.py), which need no
# compiler: this checks that an interpreter is there and reads them, and that the deploy build has left the relay.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast, glob, sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for path in ["review/common/rig.py"] + sorted(glob.glob("review/[0-9]/*.py")):
    with open(path) as file:
        ast.parse(file.read(), path)
PY
[ -x build/umberhoist ] || { echo "build/umberhoist is missing: run the build of deploy/balancer.toml first"; exit 1; }
