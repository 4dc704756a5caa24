#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3. Needs the Rust compiler of the project and Python, and no network.
# But for the worker of case 11 the stand-ins are Python programs of the standard library: this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/worker review/standins-3/worker.rs
python3 - <<'CHECK'
import glob
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sorted(glob.glob("review/standins-3/*.py") + glob.glob("review/1[1-5]/case.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
