#!/usr/bin/env bash
# A queue whose runners an advice service names. One tenant sends many times its usual for some seconds. What was accepted
# must run.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
# What was sent, answered and run.
record=$case_folder/record.txt
# TROUBLE=0 leaves the disruption out.
trouble=${TROUBLE:-1}
. "$case_folder/../site_2.sh"

# A call on 12 runners takes 1.1 s, one on the 9 that may run a step 0.95 s; a ticket is valid for 3 s from the answer.
start_platform decision=500 interval=50 validity=3000 good=9
write_config ',"advice":{"decisionMs":500,"intervalMs":50,"validityMs":3000}'
zones=(mill-a mill-b mill-c)
for number in 1 2 3 4 5 6 7 8 9 10 11 12; do
    start_worker "$number" "${zones[$((number % 3))]}" "kind-a,r1-$((number / 4))" tickets=1
done
for number in 0 1 2; do
    start_entry "$number" "${zones[$number]}"
done
for number in 0 1 2; do
    wait_ready "$number"
done
wait_for 10 has_owner || give_up "no owner"
sleep 3

# The tenant's usual: a job each 4 s. In 6.5 s 7.5 times as many are 12.
body='{"spec":"ms=500","steps":[{"count":2,"cpu":2000,"memMb":1024,"estimateMs":500}]}'
count=12
pause=0.54
if [ "$trouble" = 0 ]; then
    count=4
    pause=4
fi
accepted=()
for number in $(seq 1 "$count"); do
    job=$(printf '%015x%x' 0xad "$number")
    if [ "$(call POST $((number % 3)) "/plans/$job" "$body" | cut -d' ' -f1)" = 200 ]; then
        accepted+=("$job")
    fi
    sleep "$pause"
done
note "accepted: ${#accepted[@]} of $count jobs"

# finish_s after the end of the traffic.
sleep 14
note "finish_s is over"
# For each job: not completed, and nothing of it has run in 5 s and more, while all runners have most of their capacity.
sleep 25
lost=0
for job in "${accepted[@]}"; do
    if [ "$(state "$job" 0 1 2)" != completed ]; then
        lost=$((lost + 1))
        note "not completed: $job, starts of it: $(grep -c " start i-.* $job" "$record" || true)"
    fi
done
[ "$lost" = 0 ] || verdict 1 "LOST: 39 s after the end of the traffic $lost of ${#accepted[@]} accepted jobs have not run"
verdict 0 "all ${#accepted[@]} accepted jobs are completed"
