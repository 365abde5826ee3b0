#!/usr/bin/env bash
# The stand-ins are Python without dependencies: this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
python3 - standins/platform_store.py review/lib/*.py review/[1-5]/case.py <<'CHECK'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed (tomllib)"
for path in sys.argv[1:]:
    with open(path, "rb") as source:
        compile(source.read(), path, "exec")
CHECK
