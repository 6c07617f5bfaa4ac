#!/bin/sh
# Compiles the stand-ins of the cases. Their libraries are those that deploy/build.sh installs.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps || sh deploy/build.sh
for source in review/standins review/[1-9]; do
    python3 -m compileall -q "$source"
done
