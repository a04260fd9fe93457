#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case can't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps/tornado ] || { echo "run deploy/build.sh first"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
PYTHONPATH="target/deps:review" exec python3 "review/6/case.py"
