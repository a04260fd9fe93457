#!/bin/sh
# Builds the stand-ins of the second review's scripts. They are Python modules
# that use the libraries under target/deps; the deploy file's build comes first.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/tornado ] || { echo "run deploy/build.sh first" >&2; exit 1; }
python3 -m compileall -q review/kit2
for script in review/*/case.py; do
    [ -e "$script" ] || continue
    python3 -m py_compile "$script"
done
PYTHONPATH="target/deps:review" python3 -c "import kit2.deployment"
