#!/usr/bin/env bash
# Builds and runs every test.
set -eu
cd "$(dirname "$0")/.."
tools/build.sh
ctest --test-dir build --output-on-failure
