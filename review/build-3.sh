#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are Python programs that use the standard library only, so nothing is compiled:
# this checks that they can be read by the machine's Python.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sorted(glob.glob("standins-3/*.py") + glob.glob("1[1-5]/case.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
