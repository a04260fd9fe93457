#!/bin/sh
# Puts the run-time libraries and the package under target/deps.
set -eu
cd "$(dirname "$0")/.."
if [ ! target/.libraries -nt requirements/runtime.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check \
        --target target/deps -r requirements/runtime.txt
    touch target/.libraries
fi
rm -rf target/deps/yuccapoint
cp -r src/yuccapoint target/deps/yuccapoint
python3 -m compileall -q target/deps/yuccapoint
