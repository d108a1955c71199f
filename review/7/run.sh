#!/usr/bin/env bash
# A task starts on a runner that was idle for a while and whose clock is 2 % slow. The owner's process is killed and
# starts again, and the zone of the runner is cut off. The task must not be started elsewhere while it still runs.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
# What was sent, answered and run.
record=$case_folder/record.txt
# TROUBLE=0 leaves the disruption out.
trouble=${TROUBLE:-1}
. "$case_folder/../site_2.sh"

job=00000000000000c7
idle_s=92
start_platform
write_config
# Zone mill-b: runners 1 and 2 and entry host 1. All that it has to do with the rest goes over a path.
start path "$tools/link_2" way="$(port_of way 1):$(port_of worker 1)" way="$(port_of way 2):$(port_of worker 2)" \
    way="$(port_of way 3):$store_port"
for number in 1 2; do
    start_worker "$number" mill-b "kind-a,r1-1" rate=0.98 address="$(port_of way "$number")" store="$(port_of way 3)"
done
for number in 3 4 5; do
    start_worker "$number" mill-a "kind-a,r1-2" rate=0.98
done
for number in 6 7 8; do
    start_worker "$number" mill-c "kind-a,r1-3" rate=0.98
done
start_entry 0 mill-a
wait_ready 0
wait_for 10 has_owner || give_up "no owner"
start_entry 1 mill-b "$(port_of way 3)"
start_entry 2 mill-c
wait_ready 1
wait_ready 2
[ "$(owner)" = 0 ] || give_up "another owner than expected"
note "all runners are idle for $idle_s s"
sleep "$idle_s"
[ "$(owner)" = 0 ] || give_up "another owner than expected"

submit "$job" '{"spec":"ms=40000","steps":[{"count":1,"cpu":2000,"memMb":1024,"estimateMs":40000}]}' 0 2
wait_for 5 has_lines 1 " start i-.* $job" || give_up "the task does not start"
first=$(sed -n "s/.* start \(i-[0-9]*\) $job.*/\1/p" "$record" | head -n 1)
note "first run on $first"
if [ "$trouble" != 0 ]; then
    [ "$first" = i-1 ] || [ "$first" = i-2 ] || give_up "the task runs outside the zone"
    sleep 0.1
    kill_hard entry-0
    start_entry 0 mill-a
    cut_at=$(now)
    signal_to USR1 path
    wait_for 8 is_past $((cut_at + 6450))
    signal_to USR2 path
    sleep 3
else
    sleep 9.5
fi

# Two runs of the task at the same time, on runners that are up.
runs=$(grep -c " start i-.* $job" "$record")
if [ "$runs" -gt 1 ]; then
    second_at=$(grep " start i-.* $job" "$record" | sed -n 2p | cut -d' ' -f1)
    end_at=$(grep " end $first $job" "$record" | head -n 1 | cut -d' ' -f1)
    if [ -z "$end_at" ] || [ "$end_at" -gt "$second_at" ]; then
        verdict 1 "TWICE: a second run began $((${end_at:-$(now)} - second_at)) ms before the first one had ended"
    fi
fi
verdict 0 "no two runs at the same time ($runs started)"
