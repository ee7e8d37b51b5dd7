#!/usr/bin/env bash
# Runs the case of the folder $1 with the program $2 and the disruption $3 (0:
# none). Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# couldn't run.
set -u
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
program=target/review-3/$2
[[ -x $program && -x target/bin/pomeloring-gateway ]] || exit 2
work=$(mktemp -d) || exit 2
# The gateways end with the program.
timeout -k 2 110 "$program" "$folder/record.txt" "$work" "$3"
status=$?
rm -rf "$work"
((status == 0 || status == 1)) || status=2
exit "$status"
