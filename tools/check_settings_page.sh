#!/usr/bin/env bash
# Checks that the settings page is what the program prints.
set -euo pipefail
cd "$(dirname "$0")/.."
diff <(grep '^|' docs/operators/settings.md) \
  <(build/bin/pomeloring-node --describe)
