#!/usr/bin/env bash
# Runs a command while it holds one of the cores that the steps of the whole check share; see misc/test.sh.
if [ -z "${RADISHVANE_CORES:-}" ]; then
    exec "$@"
fi
exec 9<> "$RADISHVANE_CORES"
read -r -N 1 -u 9 _
trap 'printf . >&9' EXIT
"$@" 9>&-
