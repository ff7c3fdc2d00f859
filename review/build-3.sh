#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they are Python without dependencies, so
# that they are only compiled, outside the repository.
set -e
folder="$(mktemp -d)"
PYTHONPYCACHEPREFIX="$folder" python3 -m compileall -q "$(dirname "$0")/common-3"
rm -rf "$folder"
