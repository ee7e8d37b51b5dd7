#!/usr/bin/env bash
# Checks that the settings pages match what the programs print with --describe.
set -euo pipefail
cd "$(dirname "$0")/.."
diff <(grep '^|' docs/operators/settings.md) \
  <(build/bin/pomeloring-node --describe)
diff <(grep '^|' docs/operators/gateway_settings.md) \
  <(build/bin/pomeloring-gateway --describe)
