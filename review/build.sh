#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts in review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/$(basename "$source" .cc)" \
    "$source"
done
