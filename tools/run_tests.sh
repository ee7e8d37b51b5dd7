#!/usr/bin/env bash
# Builds and runs all tests. Those in KNOWN-RED.txt run first and their results
# are printed but do not affect the exit code. The summary at the end counts only
# the other tests.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
known_red='^$'
if [[ -s KNOWN-RED.txt ]]; then
  known_red="^($(cut -d'|' -f1 KNOWN-RED.txt | sed 's/ *$//' | paste -sd'|'))\$"
  echo "known red, passed over:"
  cat KNOWN-RED.txt
  ctest --test-dir build --output-on-failure -R "$known_red" || true
fi
ctest --test-dir build --output-on-failure -j 4 -E "$known_red"
