#!/usr/bin/env bash
# A gang whose members must run on different runners is broken by the crash of one runner. When it starts again, its
# members must be on different runners again.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
. "$case_folder/../site_2.sh"

gang=00000000000000d9
other=00000000000000e9
start_platform
write_config
mkdir "$work/gangs"
zones=(mill-a mill-b mill-c)
for number in 1 2 3 4 5 6 7; do
    start_worker "$number" "${zones[$((number % 3))]}" "kind-a,r1-$((number / 4))" gangs="$work/gangs"
done
# A runner with some more cores, and a label of its own.
start_worker 8 mill-c "kind-b,r1-2" cpu=40000 gangs="$work/gangs"
for number in 0 1 2; do
    start_entry "$number" "${zones[$number]}"
done
for number in 0 1 2; do
    wait_ready "$number"
done
wait_for 10 has_owner || give_up "no owner"
sleep 3

submit "$gang" '{"spec":"ms=15000 g=2","steps":[{"count":2,"cpu":18000,"memMb":1024,"estimateMs":15000,"gang":true,"antiAffinity":1}]}' 0 1 2
wait_for 5 has_lines 2 " start i-.* $gang" || give_up "the gang does not start"
submit "$other" '{"spec":"ms=30000","steps":[{"count":1,"cpu":1000,"memMb":1024,"estimateMs":30000,"constraints":"kind-b"}]}' 0 1 2
wait_for 5 has_lines 1 " start i-8 $other" || give_up "the other job does not start"
sleep 0.5
if [ "$trouble" != 0 ]; then
    crashed=$(sed -n "s/.* start i-\([0-9]*\) $gang\.0\.0\.1 1$/\1/p" "$record")
    kill_hard "worker-$crashed"
    wait_for 15 has_lines 4 " start i-.* $gang" || note "the gang does not start again"
fi
sleep 2

# Tasks of the gang's step that run on one runner at the same time, by the runs that have the same number.
broken=0
for number in $(sed -n "s/.* start i-[0-9]* $gang\.0\.0\.[01] \([0-9]*\)$/\1/p" "$record" | sort -u); do
    on=$(sed -n "s/.* start \(i-[0-9]*\) $gang\.0\.0\.[01] $number$/\1/p" "$record" | sort | uniq -d)
    if [ -n "$on" ]; then
        broken=1
        note "broken: both members of run $number were started on $on"
    fi
done
[ "$broken" = 0 ] || verdict 1 "ROUTE: a start beyond antiAffinity"
verdict 0 "no start beyond antiAffinity"
