#!/usr/bin/env bash
# ORDER: exits with 1 if streams hold events of two software versions.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
exec "$folder/../run_case.sh" "$folder" order_after_freeze
