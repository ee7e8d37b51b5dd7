#!/usr/bin/env bash
# Case 13. TROUBLE=0 leaves the disruption out.
# TROUBLE=whole: the history goes back to the beginning. TROUBLE=drill: so does
# it, but the store has had a drill.
trouble=${TROUBLE:-1}
folder=$(dirname "$0")
exec "$folder/../run_case-3.sh" "$folder" takeup_case "$trouble"
