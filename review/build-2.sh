#!/usr/bin/env bash
# Builds the stand-ins of the second review, in target/review-2/. They need the
# compiler alone. Case 10 uses a stand-in of the first review as it is.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-2/cases \
  review/standins-2/cases.cc review/standins-2/scene.cc
${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread \
  -o target/review-2/lost_after_kill review/standins/lost_after_kill.cc
