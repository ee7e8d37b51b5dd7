#!/usr/bin/env bash
# LOST: exits with 1 if streams that clients take up are refused.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
# TROUBLE=0: the same without the disruption.
export TROUBLE=${TROUBLE:-1}
exec "$folder/../run_case.sh" "$folder" lost_after_kill drill
