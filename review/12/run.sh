#!/usr/bin/env bash
# Case 12. TROUBLE=0 leaves the disruption out.
trouble=${TROUBLE:-1}
folder=$(dirname "$0")
exec "$folder/../run_case-3.sh" "$folder" usage_case "$trouble"
