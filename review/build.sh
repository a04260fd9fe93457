#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -r review/standins target/review/standins
python3 -m compileall -q target/review/standins
