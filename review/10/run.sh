#!/usr/bin/env bash
# A runner crashes and starts again under its id as another kind, while the watches of the store hear nothing for a
# second. What needs the former kind must not be started on it.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
. "$case_folder/../site_2.sh"

job=00000000000000fa
start_platform
write_config
zones=(mill-a mill-b mill-c)
for number in 1 2 3 4 5 6 7; do
    start_worker "$number" "${zones[$((number % 3))]}" "kind-a,r1-$((number / 4))"
done
start_worker 8 mill-c "kind-b,r1-2"
for number in 0 1 2; do
    start_entry "$number" "${zones[$number]}"
done
for number in 0 1 2; do
    wait_ready "$number"
done
wait_for 10 has_owner || give_up "no owner"
sleep 3

submit "$job" '{"spec":"ms=6000","steps":[{"count":1,"cpu":2000,"memMb":1024,"estimateMs":6000,"constraints":"kind-b"}]}' 0 1 2
wait_for 5 has_lines 1 " start i-8 $job" || give_up "the task does not start"
sleep 1.6
if [ "$trouble" != 0 ]; then
    control '{"feeds":"silent"}'
    kill_hard worker-8
    sleep 0.3
    # It registers as soon as it listens.
    start_worker 8 mill-c "kind-a,r1-2"
    sleep 0.65
    control '{"feeds":"cut"}'
fi
sleep 5

born=$(grep " born i-8 labels kind-a" "$record" | cut -d' ' -f1)
wrong=$(grep " start i-8 $job" "$record" | cut -d' ' -f1 | while read -r at; do
    [ -z "$born" ] || [ "$at" -lt "$born" ] || echo "$at"
done)
if [ -n "$wrong" ]; then
    verdict 1 "ROUTE: a task that needs kind-b was started on a runner of kind-a, $(($(head -n 1 <<< "$wrong") - born)) ms after that had registered as kind-a"
fi
verdict 0 "no start without the label"
