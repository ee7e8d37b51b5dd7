#!/usr/bin/env bash
# Builds and runs all tests. The last line counts them.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
ctest --test-dir build --output-on-failure -j 4
