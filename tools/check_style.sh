#!/usr/bin/env bash
# Checks that every source is formatted as .clang-format says.
set -eu
cd "$(dirname "$0")/.."
git ls-files -- '*.cc' '*.h' | grep -v '/generated/' |
  xargs clang-format --dry-run --Werror
echo "format: clean"
