#!/usr/bin/env bash
# Builds the programs of the cases 11 to 13, each of which plays the stand-ins
# around the gateways, into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
sources=review/standins-3
shared=("$sources/http.cc" "$sources/store.cc" "$sources/site.cc")
for case in "$sources"/*_case.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "$out/$(basename "$case" .cc)" \
    "$case" "${shared[@]}" -pthread
done
