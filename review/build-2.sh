#!/bin/bash
# Builds the stand-ins of the second review's scripts into target/review-2. Needs the Rust compiler of the project and no network. Case 7 uses
# the stand-ins of the first review, which are Python programs of the standard library and need no build; this checks that they can run.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/standins-2/main.rs
python3 -c 'import asyncio, tomllib'
for file in review/standins/*.py review/7/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
