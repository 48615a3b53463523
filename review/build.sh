#!/bin/bash
# Checks that the scripts and their stand-ins compile; they need no other build than target/deps.
set -e
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/target/deps:$PWD"
for file in review/common/*.py review/[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -S -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
python3 -S -c 'import aiohttp, msgspec, review.common.store, review.common.engine, review.common.fleet'
