#!/usr/bin/env bash
# ORDER: exits with 1 if streams hold events of two software versions.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
# TROUBLE=0: the same without the disruption.
export TROUBLE=${TROUBLE:-1}
exec "$folder/../run_case.sh" "$folder" order_after_freeze
