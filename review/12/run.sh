#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
PYTHONDONTWRITEBYTECODE=1 exec python3 "$(dirname "$0")/case.py"
