#!/usr/bin/env bash
# A rack loses power: the runners with the label that jobs need are down and silent. The jobs wait, and none of their
# tasks has started, but the number of pending jobs of their queue is given as 0.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
. "$case_folder/../site_2.sh"

start_platform
write_config
zones=(mill-a mill-b mill-c)
for number in 1 2 3 4 5 6; do
    start_worker "$number" "${zones[$((number % 3))]}" "kind-a,r1-$((number / 4))"
done
# The two runners of the rack are reached over a path that goes silent with them.
start path "$tools/link_2" way="$(port_of way 7):$(port_of worker 7)" way="$(port_of way 8):$(port_of worker 8)"
for number in 7 8; do
    start_worker "$number" mill-c "kind-b,r1-2" address="$(port_of way "$number")"
done
for number in 0 1 2; do
    start_entry "$number" "${zones[$number]}"
done
for number in 0 1 2; do
    wait_ready "$number"
done
wait_for 10 has_owner || give_up "no owner"
sleep 3

if [ "$trouble" != 0 ]; then
    signal_to USR1 path
    kill_hard worker-7
    kill_hard worker-8
    crashed_at=$(now)
fi
jobs=()
for number in 1 2 3 4 5 6; do
    job=00000000000000b$number
    submit "$job" '{"spec":"ms=300","steps":[{"count":1,"cpu":2000,"memMb":1024,"estimateMs":300,"constraints":"kind-b"}]}' \
        $((number % 3)) $(((number + 1) % 3)) $(((number + 2) % 3))
    jobs+=("$job")
done
accepted_at=$(now)

# Not begun: accepted over visible_ms + 2 s = 5 s before, and no runner has started a task of it.
wait_for 8 is_past $((accepted_at + 5200))
broken=0
for entry in 0 1 2; do
    waiting=0
    for job in "${jobs[@]}"; do
        grep -q " start i-.* $job" "$record" || waiting=$((waiting + 1))
    done
    answer=$(call GET "$entry" /plans/)
    note "waiting at entry-$entry: $waiting of ${#jobs[@]} jobs have not begun"
    [ "${answer%% *}" = 200 ] || continue
    pending=$(sed 's/.*"pending":\([0-9]*\).*/\1/' <<< "$answer")
    if [ $((2 * pending)) -lt "$waiting" ]; then
        broken=1
        note "broken: pending is given as $pending while $waiting jobs have not begun"
    fi
done
for job in "${jobs[@]}"; do
    state "$job" 0 > /dev/null
done

if [ "$trouble" != 0 ]; then
    wait_for 6 is_past $((crashed_at + 6800))
    for number in 7 8; do
        start "worker-new-$number" "$tools/worker_2" id="i-new-$number" port="$(port_of worker $((number + 10)))" \
            store="$store_port" service=looms zone=mill-c labels="kind-b,r1-2" machine="m-$number" record="$record"
    done
fi
wait_for 25 has_lines 6 " end i-.* 00000000000000b.* done" || note "not all jobs have ended"
[ "$broken" = 0 ] || verdict 1 "MIXED: pending is given as less than half of the jobs that have not begun"
verdict 0 "pending is right"
