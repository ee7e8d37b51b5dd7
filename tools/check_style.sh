#!/usr/bin/env bash
# Checks that the formatter would change nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cc' | grep -v '/generated/' |
  xargs clang-format --dry-run --Werror
echo "format: clean"
