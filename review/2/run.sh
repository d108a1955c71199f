#!/usr/bin/env bash
# Jobs of many steps that end while the store is down. TROUBLE=0: the store stays up.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
source "$folder/../site.sh"
start_site 9 3
play batch
