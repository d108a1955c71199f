#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, against the libraries that the deploy file's build made.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
read -r -a compile <<< "-std=c++20 -O2 -I. $(pkg-config --cflags libevent)"
read -r -a link <<< "target/drivers/libradishvane_drivers.a target/core/libradishvane_core.a \
    target/drivers/libradishvane_easylogging.a $(pkg-config --libs libevent libevent_pthreads) -lyaml-cpp -pthread"
builds=()
for name in platform callers; do
    g++ "${compile[@]}" "review/stand_ins/$name.cpp" -o "target/review/$name" "${link[@]}" &
    builds+=($!)
done
for build in "${builds[@]}"; do
    wait "$build"
done
