#!/usr/bin/env bash
# What control costs an entry host at the target size: eight entry hosts in five zones under a set of files with 720
# hosts, 27 pools and 70 teams, without requests.
set -euo pipefail
cd "$(dirname "$0")/.."

build=$1
seconds=20
. misc/process_group.sh

mkdir "$work/config"
{
    echo "pools:"
    for pool in $(seq 27); do
        echo "  - {name: pool-$pool, max_hosts_out: 2, maintenance_interval_hours: 840}"
    done
    echo "hosts:"
    for host in $(seq 720); do
        echo "  - {name: host-$host, zone: z$((host / 4 % 5)), rack: rack-$((host / 4)), pool: pool-$((host % 27 + 1)), cores: 32, memory_gb: 64, accelerators: 1, worker: '127.0.0.1:9'}"
    done
    echo "teams:"
    for team in $(seq 70); do
        echo "  - {name: team-$team, share: 1, ceiling: 100}"
    done
} > "$work/config/set.yaml"
start platform "$build/tests/stand_ins/platform_stand_in" --port 19000
for index in 1 2 3 4 5 6 7 8; do
    cat > "$work/$index.yaml" << SETTINGS
host: entry-$index
zone: z$((index % 5))
listen: 127.0.0.1:1920$index
operator_listen: 127.0.0.1:1930$index
peer_listen: 127.0.0.1:1940$index
platform: 127.0.0.1:19000
peers: [127.0.0.1:19401, 127.0.0.1:19402]
SETTINGS
    start "entry-$index" "$build/main/radishvaned" "$work/$index.yaml"
done
sleep 1
{
    printf '['
    for host in $(seq 720); do
        printf '{"host": "host-%s", "state": "live"}%s' "$host" "$([ "$host" -lt 720 ] && echo ,)"
    done
    printf ']'
} > "$work/list.json"
curl -fs -o /dev/null -X POST --data-binary "@$work/list.json" http://127.0.0.1:19000/control/hosts
"$build/main/radishvane" apply "$work/config" --platform 127.0.0.1:19000 --operator 127.0.0.1:19301
sleep 10

ticks() {
    awk '{print $14 + $15}' "/proc/$1/stat"
}
metric() {
    curl -fs "http://127.0.0.1:1930$1/metrics" | awk -v name="radishvane_$2" '$1 ~ "^" name {total += $2} END {print total + 0}'
}
counts() {
    curl -fs http://127.0.0.1:19000/control/counts
}
declare -A from
for index in 1 2 3 4 5 6 7 8; do
    from[$index]=$(ticks "${started[entry-$index]}")
done
bytes=$(metric 1 peer_bytes_sent_total)
calls=$(metric 1 platform_calls_total)
echo "platform before: $(counts)"
sleep "$seconds"
for index in 1 2 3 4 5 6 7 8; do
    pid=${started[entry-$index]}
    used=$(($(ticks "$pid") - ${from[$index]}))
    echo "entry host $index: $(awk -v used="$used" -v hz="$(getconf CLK_TCK)" -v s="$seconds" 'BEGIN {printf "%.2f", used * 100 / hz / s}') % of a core," \
        "$(awk '/VmRSS/ {print $2}' "/proc/$pid/status") KB resident"
done
echo "entry host 1: $((($(metric 1 peer_bytes_sent_total) - bytes) / seconds)) bytes of heartbeats a second," \
    "$((($(metric 1 platform_calls_total) - calls) / seconds)) calls to the platform a second"
echo "platform after: $(counts)"

# The target: a change of the files is in force on every entry host within 5 s, also while the platform is slow.
roll_out() {
    local platform=$1 worst=0
    for change in 1 2 3 4 5; do
        sed -i -E "s/(name: team-1, share:) [0-9]+/\1 $((RANDOM % 1000 + 1))/" "$work/config/set.yaml"
        local took
        took=$("$build/main/radishvane" apply "$work/config" --platform 127.0.0.1:19000 --operator 127.0.0.1:19301 \
            --output json | sed -nE 's/.*"after_ms":([0-9]+).*/\1/p')
        worst=$((took > worst ? took : worst))
    done
    echo "roll-out of 5 changes, platform $platform: at worst $worst ms from acceptance to the confirmation of every zone"
    if [ "$worst" -gt 5000 ]; then
        echo "bound broken: a change is in force everywhere within 5 s" >&2
        exit 1
    fi
}
roll_out ok
curl -fs -o /dev/null -X POST --data '{"mode": "slow", "delay_ms": 500}' http://127.0.0.1:19000/control
roll_out "slow (500 ms a call)"
