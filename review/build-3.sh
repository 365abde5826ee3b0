#!/usr/bin/env bash
# Prepares the stand-ins of review/11 to review/15. They are Python, the
# project's own too (standins/platform_*.py), so nothing is compiled; this checks
# that each of them can be read by the Python that runs them.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast
from pathlib import Path

files = [*Path("standins").glob("*.py"), Path("tools/platform_site.py")]
files += [file for number in range(11, 16)
          for file in Path(f"review/{number}").glob("*.py")]
for file in files:
    ast.parse(file.read_text(), str(file))
print(f"{len(files)} stand-ins and drivers can be read")
PY
