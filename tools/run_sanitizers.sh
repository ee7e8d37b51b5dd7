#!/usr/bin/env bash
# Runs the tests in virtual time under the address and undefined-behaviour
# sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-sanitize -G Ninja -DCMAKE_BUILD_TYPE=None \
  -DCMAKE_CXX_FLAGS="-O1 -g1" -DPOMELORING_SANITIZE=address,undefined >/dev/null
cmake --build build-sanitize --target correctness_test fuzz_test
build-sanitize/bin/correctness_test --minimal
RC_PARAMS="seed=20261203 max_success=20 max_size=60" \
  build-sanitize/bin/fuzz_test --minimal
echo "sanitizers: clean"
