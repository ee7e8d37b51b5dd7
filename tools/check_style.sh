#!/usr/bin/env bash
# Checks the format, loops over temporaries and the generated code. With --tidy, also runs clang-tidy on
# the sources of the libraries, programs and stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cc' | grep -v '/generated/' |
  xargs clang-format --dry-run --Werror
echo "format: clean"
# A loop over a member of what a returned pointer holds: the pointer is destroyed
# before the first pass, and with it what only it held.
if git grep -nE 'for \([^;]*: [^;]*\)->' -- '*.h' '*.cc' ':!*/generated/*' ':!review'; then
  echo "loops over a member of a temporary: hold the pointer in a variable" >&2
  exit 1
fi
echo "loops: clean"
tools/generate_wire.sh --check
if [[ ${1:-} == --tidy ]]; then
  cmake -S . -B build -G Ninja >/dev/null
  git ls-files 'src/*.cc' 'standins/*.cc' 'platform/*.cc' | grep -v '/generated/' |
    xargs -P 8 -n 2 clang-tidy -p build --quiet 2>/dev/null
  echo "clang-tidy: clean"
fi
