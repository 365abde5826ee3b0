#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/6 to review/10 start. All of
# them are Python: the project's store and the workers of harness-2. This checks
# that they compile and load.
set -eu
cd "$(dirname "$0")/.."
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX=$cache python3 -m py_compile standins/platform_store.py \
  review/harness-2/*.py review/{6,7,8,9,10}/case.py
