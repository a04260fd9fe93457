#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp review/standins-3/*.py target/review-3/
python3 -m compileall -q target/review-3
