#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts in review/bin, and the node,
# which the line of the deploy file does not build, in target.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/$(basename "$source" .cc)" \
    "$source"
done
cmake --build ../target --target pomeloring-node
