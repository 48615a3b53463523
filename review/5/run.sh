#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$case_folder/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
exec python3 -S "$case_folder/run.py"
