#!/bin/sh
# Checks that the stand-ins of the scripts compile and find their libraries, which the
# build of the deploy file has placed under target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review/common PYTHONDONTWRITEBYTECODE=1 python3 -c "import standins"
for case in review/*/case.py; do
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$case"
done
