#!/bin/sh
# Compiles the stand-ins and the cases of the second review. They use only the libraries that the
# build of the deploy file has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -S -c "import aiohttp"
python3 -m compileall -q review/standins_2 review/6 review/7 review/8 review/9 review/10
