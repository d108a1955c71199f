#!/usr/bin/env bash
# Builds what the scripts of the review's cases 6 to 10 start, beside the build of the deploy file, which comes first.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-maybe-uninitialized -I. -Ireview/stand_ins_2)
libraries=(target/drivers/libradishvane_drivers.a target/core/libradishvane_core.a
    target/drivers/libradishvane_easylogging.a -levent -levent_pthreads -lyaml-cpp -lpthread)
builds=()
for name in platform worker link ask; do
    g++ "${flags[@]}" "review/stand_ins_2/${name}_2.cpp" -o "$out/${name}_2" "${libraries[@]}" &
    builds+=($!)
done
for build in "${builds[@]}"; do
    wait "$build"
done
