#!/usr/bin/env bash
# run_case.sh FOLDER PROGRAM [ARGUMENT...]: plays a case from the repository's
# root and writes FOLDER/record.txt. Needs target/ and review/build.sh.
set -u
folder=$(cd "$1" && pwd)
program=$2
shift 2
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
if [[ ! -x target/bin/pomeloring-gateway || ! -x review/bin/$program ]]; then
  echo "build first: the line of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
RECORD=$folder/record.txt timeout --signal=KILL 118 "review/bin/$program" "$@"
code=$?
if [[ $code -ne 0 && $code -ne 1 ]]; then
  exit 2
fi
exit $code
