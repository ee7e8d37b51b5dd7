#!/usr/bin/env bash
# Runs the virtual-time tests under the address and undefined-behaviour
# sanitizers, and the multi-threaded tests of one instance under the thread
# sanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-sanitize -G Ninja -DCMAKE_BUILD_TYPE=None \
  -DCMAKE_CXX_FLAGS="-O1 -g1" -DPOMELORING_SANITIZE=address,undefined >/dev/null
cmake --build build-sanitize --target correctness_test fuzz_test
build-sanitize/bin/correctness_test --minimal
RC_PARAMS="seed=20261203 max_success=20 max_size=60" \
  build-sanitize/bin/fuzz_test --minimal
cmake -S . -B build-sanitize-thread -G Ninja -DCMAKE_BUILD_TYPE=None \
  -DCMAKE_CXX_FLAGS="-O1 -g1" -DPOMELORING_SANITIZE=thread >/dev/null
cmake --build build-sanitize-thread --target threads_test
TSAN_OPTIONS="halt_on_error=1" build-sanitize-thread/bin/threads_test --minimal
echo "sanitizers: clean"
