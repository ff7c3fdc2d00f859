#!/bin/sh
# Checks that the stand-ins of review/common-2 and the scripts that use them compile.
# They need Python 3.11 and its standard library only.
set -e
cd "$(dirname "$0")"
exec python3 - <<'END'
from pathlib import Path

cases = [Path(str(number)) / "case.py" for number in range(6, 11)]
for path in [Path("common-2") / "harness.py", *cases]:
    if path.exists():
        compile(path.read_bytes(), str(path), "exec")
END
