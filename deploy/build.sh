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
# Processes that start meanwhile import the former copy or the new one.
new="target/new-$$"
rm -rf "$new"
cp -r src/yuccapoint "$new"
python3 -m compileall -q -s "$new" -p target/deps/yuccapoint "$new"
former="target/former-$$"
if [ -e target/deps/yuccapoint ]; then
    mv target/deps/yuccapoint "$former"
fi
mv "$new" target/deps/yuccapoint
rm -rf "$former"
