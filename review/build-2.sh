#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start besides the routers: their stand-ins are
# Python modules, which are compiled and imported once with the libraries of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD" python3 -S -c "
import standins.platform, standins.platform_engine
import review.common2.fleet, review.common2.poisoned, review.common2.run_case
import soak.links
"
echo "the stand-ins are built"
