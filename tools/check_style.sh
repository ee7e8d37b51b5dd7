#!/usr/bin/env bash
# Checks the format and the generated code. With --tidy, also runs clang-tidy on
# the sources of the libraries, programs and stand-ins.
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
