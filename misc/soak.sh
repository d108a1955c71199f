#!/usr/bin/env bash
# Runs the soak of separate processes with many seeds, a few at a time, and prints a line for each.
# usage: misc/soak.sh SEEDS [FIRST] [AT_ONCE] [SECONDS] [HOSTS]; without HOSTS each seed draws 3 to 5.
# TEST names another test of the suite.
# The logs of a seed that fails stay under soak/ in the folder of the build (BUILD, default build/release).
set -euo pipefail
cd "$(dirname "$0")/.."

seeds=$1
first=${2:-1}
at_once=${3:-2}
export RADISHVANE_SOAK_SECONDS=${4:-45}
if [ -n "${5:-}" ]; then
    export RADISHVANE_SOAK_HOSTS=$5
fi
build=${BUILD:-build/release}
test=${TEST:-KeepsItsPromisesWhileSignalsAndChangesOverlap}
logs=$build/soak
mkdir -p "$logs"

run_seed() {
    local seed=$1 port=$2 verdict=passed
    export RADISHVANE_SOAK_SEED=$seed RADISHVANE_SOAK_PORT=$port
    if ! "$build/tests/process_tests" --gtest_filter="ProcessSiteSoak.$test" > "$logs/$seed.txt" 2>&1; then
        verdict=FAILED
        rm -rf "${logs:?}/$seed"
        cp -r "${TMPDIR:-/tmp}/site-$((port + ${RADISHVANE_PORT_SHIFT:-0}))" "$logs/$seed"
    fi
    printf '%s %s\n' "$verdict" "$(grep "^seed $seed," "$logs/$seed.txt" || echo "seed $seed")"
    [ "$verdict" = passed ]
}

# Each lane has ports of its own and takes every AT_ONCE-th seed.
run_lane() {
    local lane=$1 seed bad=0
    for ((seed = first + lane; seed < first + seeds; seed += at_once)); do
        run_seed "$seed" $((26000 + lane * 400)) || bad=1
    done
    return "$bad"
}

lanes=()
for ((lane = 0; lane < at_once; ++lane)); do
    run_lane "$lane" &
    lanes+=($!)
done
failed=0
for lane in "${lanes[@]}"; do
    wait "$lane" || failed=1
done
exit "$failed"
