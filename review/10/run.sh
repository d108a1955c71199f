#!/usr/bin/env bash
# The service for machines is down for some seconds. Meanwhile a machine joins, and the operator asks for a wave with it.
# The wave must not be said to be completed before each of its machines has had its upkeep.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
# What was sent, answered and run.
record=$case_folder/record.txt
# TROUBLE=0 leaves the disruption out.
trouble=${TROUBLE:-1}
. "$case_folder/../site_2.sh"

# The runner of a machine ends with the beginning of its upkeep, and another one joins 2 s later.
keep_up() {
    local number=$1
    wait_for 25 has_lines 1 " upkeep m-$number wave 1" || return 0
    kill -KILL "${started[worker-$number]}"
    sleep 2
    start "worker-kept-$number" "$tools/worker_2" id="i-kept-$number" port="$(port_of worker $((number + 10)))" \
        store="$store_port" service=looms zone=mill-a labels="kind-a,r1-0" machine="m-$number" record="$record"
    echo "${started[worker-kept-$number]}" > "$work/kept-$number"
}

# The state of the wave that the system has written for the operator.
wave_state() {
    "$tools/ask_2" port="$store_port" path="/-/rows-get?table=status&part=" |
        sed -n 's/.*"key":"wave\/1"[^}]*"value":"\([^"]*\)".*/\1/p' | base64 -d 2> /dev/null |
        sed -n 's/.*"state":"\([a-z]*\)".*/\1/p'
}

is_completed() {
    [ "$(wave_state)" = completed ]
}

start_platform
write_config
zones=(mill-a mill-b mill-c)
for number in 1 2 3 4 5 6 7 8; do
    start_worker "$number" "${zones[$((number % 3))]}" "kind-a,r1-$((number / 4))"
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
    control '{"machines":"busy"}'
    down_at=$(now)
fi
sleep 1
start_worker 9 mill-a "kind-a,r1-0"
sleep 2
control '{"wave":{"wave":1,"machines":["m-1","m-9"],"durationS":20,"cap":1}}'
keep_up 1 &
keepers=($!)
keep_up 9 &
keepers+=($!)
if [ "$trouble" != 0 ]; then
    wait_for 6 is_past $((down_at + 4900))
    control '{"machines":"serve"}'
fi
wait_for 25 is_completed || note "the wave is not completed"
state=$(wave_state)
note "status/wave/1: $state"
missing=""
for number in 1 9; do
    grep -q " upkeep m-$number wave 1" "$record" || missing="$missing m-$number"
done
sleep 5
for number in 1 9; do
    grep -q " upkeep m-$number wave 1" "$record" || note "5 s later the upkeep of m-$number has not begun"
done
kill "${keepers[@]}" 2> /dev/null || true
for file in "$work"/kept-*; do
    [ ! -f "$file" ] || kill -KILL "$(cat "$file")" 2> /dev/null || true
done
if [ "$state" = completed ] && [ -n "$missing" ]; then
    verdict 1 "MIXED: the wave is said to be completed, and the upkeep of$missing has not begun"
fi
[ "$state" = completed ] || verdict 2 "the wave is not completed"
verdict 0 "the wave is completed, and all its machines have had their upkeep"
