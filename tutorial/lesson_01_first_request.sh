#!/usr/bin/env bash
# Lesson 1: check a valid configuration, then an invalid one and its error. Needs
# only the built programs.
set -euo pipefail
cd "$(dirname "$0")/.."
ctl=build/bin/pomeloring-ctl

# A configuration is one JSON document with services, classes and accounts.
"$ctl" check examples/sodarna.json

# Each error has a type, names the field and says how to correct it.
bad=$(mktemp)
trap 'rm -f "$bad"' EXIT
sed 's/"tier": 2/"tier": 200/' examples/sodarna.json >"$bad"
code=0
"$ctl" check "$bad" || code=$?
echo "exit code $code"
test "$code" -eq 3
