#!/usr/bin/env bash
# Lesson 1: check a configuration, change it, and see what is wrong with a bad
# one. Needs nothing but the built programs.
set -euo pipefail
cd "$(dirname "$0")/.."
ctl=build/bin/pomeloring-ctl

# A configuration is one JSON text: services, classes and accounts.
"$ctl" check examples/sodarna.json

# Each error has a type, names the field and says what to do.
bad=$(mktemp)
trap 'rm -f "$bad"' EXIT
sed 's/"tier": 2/"tier": 200/' examples/sodarna.json >"$bad"
code=0
"$ctl" check "$bad" || code=$?
echo "exit code $code"
test "$code" -eq 3
