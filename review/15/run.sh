#!/bin/sh
# Exit 0: the rule held, 1: it was broken, 2: the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -d target/deps ] && [ -d target/review-3 ] || exit 2
export PYTHONPATH="target/review-3"
exec python3 "$here/case.py"
