#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library and need no build. This checks that they can run: Python 3.11 or later,
# and the program that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import asyncio, tomllib'
test -x target/release/vanillacleat-site
for file in review/standins/*.py review/[1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
