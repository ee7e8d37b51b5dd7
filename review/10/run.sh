#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/lost_after_kill
if [[ ! -x target/bin/pomeloring-gateway || ! -x $program ]]; then
  echo "first: the build line of deploy/system.toml, and review/build-2.sh" >&2
  exit 2
fi
export TROUBLE=${TROUBLE:-1} RECORD=review/10/record.txt
timeout --signal=KILL 118 "$program" away
code=$?
if ((code != 0 && code != 1)); then
  exit 2
fi
exit "$code"
