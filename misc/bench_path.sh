#!/usr/bin/env bash
# The path itself: the same load straight to a backend server and through one entry host, in one run.
set -euo pipefail
cd "$(dirname "$0")/.."

build=$1
. misc/process_group.sh

mkdir "$work/config"
cat > "$work/config/set.yaml" << SET
pools:
  - {name: p, max_hosts_out: 1}
hosts:
  - {name: h, zone: a, rack: r, pool: p, cores: 8, memory_gb: 8}
teams:
  - {name: office, share: 1, ceiling: 512, standing_percent: 100}
keys:
  - {secret: office-key, team: office}
services:
  - name: quotes
    pool: p
    backends:
      - {name: b, host: h, address: '127.0.0.1:19100', slots: 64, connections: 512}
SET
cat > "$work/entry.yaml" << SETTINGS
host: entry-a1
zone: a
listen: 127.0.0.1:19200
operator_listen: 127.0.0.1:19300
peer_listen: 127.0.0.1:19400
platform: 127.0.0.1:19000
log_level: info
SETTINGS
start platform "$build/tests/stand_ins/platform_stand_in" --port 19000
start backend "$build/tests/stand_ins/backend_stand_in" --port 19100 --slots 64 --connections 512
start entry "$build/main/radishvaned" "$work/entry.yaml"
entry=${started[entry]}
sleep 1
"$build/main/radishvane" apply "$work/config" --platform 127.0.0.1:19000 --operator 127.0.0.1:19300 > /dev/null
sleep 2

ticks() {
    awk '{print $14 + $15}' "/proc/$entry/stat"
}
idle_from=$(ticks)
sleep 5
idle=$(($(ticks) - idle_from))
echo "control of an idle entry host: $((idle * 1000 / $(getconf CLK_TCK) / 5)) ms of processor time a second," \
    "$(awk '/VmRSS/ {print $2}' "/proc/$entry/status") KB resident"
before=$(ticks)
"$build/benchmarks/path_benchmark"
echo "entry host: $(($(ticks) - before)) ticks of 1/$(getconf CLK_TCK) s for the calls through it," \
    "$(awk '/VmRSS/ {print $2}' "/proc/$entry/status") KB resident after them"
