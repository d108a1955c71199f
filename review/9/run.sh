#!/usr/bin/env bash
# A runner leaves a start order unanswered. The owner is stopped in a planned restart, the next owner starts the task on
# another runner, and the first one crashes, is back under its id and carries the order out.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
# What was sent, answered and run.
record=$case_folder/record.txt
# TROUBLE=0 leaves the disruption out.
trouble=${TROUBLE:-1}
. "$case_folder/../site_2.sh"

job=00000000000000e1
other=00000000000000e2
start_platform
write_config
zones=(mill-a mill-b mill-c)
late=0
[ "$trouble" = 0 ] || late=4300
start path "$tools/link_2" way="$(port_of way 1):$(port_of worker 1)" late="$late"
start_worker 1 mill-b "kind-a,r1-0" address="$(port_of way 1)"
start_worker 2 mill-c "kind-b,r1-0"
for number in 3 4 5 6 7 8; do
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

first=$(owner)
submit "$job" '{"spec":"ms=15000","steps":[{"count":1,"cpu":2000,"memMb":1024,"estimateMs":15000}]}' 0 1 2
submitted_at=$(now)
# Work that only the second runner can do. Tasks fill runners one after the other, so that the next ones go there.
submit "$other" '{"spec":"ms=30000","steps":[{"count":1,"cpu":2000,"memMb":1024,"estimateMs":30000,"constraints":"kind-b"}]}' 0 1 2
if [ "$trouble" != 0 ]; then
    signal_to TERM "entry-$first"
    wait_for 3 is_past $((submitted_at + 2900))
    kill_hard worker-1
    wait_for 3 is_past $((submitted_at + 3900))
    start_worker 1 mill-b "kind-a,r1-0" address="$(port_of way 1)" registers=700
fi
sleep 6

# Two runs of the task at the same time, on runners that are up.
declare -A running
broken=""
while read -r at event runner task number _; do
    case $event in
    born) unset "running[$runner]" ;;
    start)
        [ "$task" = "$job.0.0.0" ] || continue
        for at_once in "${!running[@]}"; do
            broken="run $number on $runner while run ${running[$at_once]} was on $at_once"
            broken_at=$at
        done
        running[$runner]=$number
        ;;
    end)
        [ "$task" = "$job.0.0.0" ] || continue
        unset "running[$runner]"
        ended_at=$at
        ;;
    esac
done < "$record"
if [ -n "$broken" ]; then
    verdict 1 "TWICE: $broken, for $((${ended_at:-$(now)} - broken_at)) ms"
fi
verdict 0 "no two runs at the same time"
