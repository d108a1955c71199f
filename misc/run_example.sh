#!/usr/bin/env bash
# Runs the main job on embedded stand-ins: two entry hosts in each of three zones, the Harrowgate example, requests and
# jobs. Exits 0 only when every answer was right, every job ended done and every process stopped gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."

build=$1
stand_ins=$build/tests/stand_ins
. misc/process_group.sh

wait_for() {
    local what=$1 url=$2
    for _ in $(seq 100); do
        if curl -fs -o /dev/null "$url"; then
            return
        fi
        sleep 0.1
    done
    echo "$what did not come up" >&2
    exit 1
}

echo "== starting the platform, 40 backend servers and 8 workers (stand-ins)"
start platform "$stand_ins/platform_stand_in" --port 17000
# shellcheck disable=SC2046
start backends "$stand_ins/backend_stand_in" $(seq -f '--port %g' 17100 17139)
# shellcheck disable=SC2046
start workers "$stand_ins/worker_stand_in" $(seq -f '--port %g' 17900 17907)

echo "== starting two entry hosts in each of three zones"
entries=()
number=0
for zone in a b c; do
    for host in 1 2; do
        number=$((number + 1))
        name=entry-$zone$host
        cat > "$work/$name.yaml" << SETTINGS
host: $name
zone: $zone
listen: 127.0.0.1:1720$number
operator_listen: 127.0.0.1:1730$number
peer_listen: 127.0.0.1:1740$number
platform: 127.0.0.1:17000
peers: [127.0.0.1:17401, 127.0.0.1:17403, 127.0.0.1:17405]
leave_wait_ms: 500
SETTINGS
        start "$name" "$build/main/radishvaned" "$work/$name.yaml"
        entries+=("$name")
    done
done
wait_for "platform" http://127.0.0.1:17000/hosts
for number in 1 2 3 4 5 6; do
    wait_for "entry host $number" "http://127.0.0.1:1730$number/healthz"
done
sleep 2

echo "== applying examples/harrowgate"
"$build/main/radishvane" validate examples/harrowgate
"$build/main/radishvane" plan examples/harrowgate --platform 127.0.0.1:17000 | head -n 1
"$build/main/radishvane" apply examples/harrowgate --platform 127.0.0.1:17000 --operator 127.0.0.1:17301

echo "== submitting 24 jobs"
jobs=()
for number in $(seq 24); do
    port=$((17201 + number % 6))
    answer=$("$build/main/radishvane" call /v1/jobs --entry 127.0.0.1:$port --key example-office-key \
        --idempotency-key "night-$number" --body '{"kind": "dye-400", "cores": 4, "memory_gb": 8, "payload": "tint"}' 2> /dev/null)
    jobs+=("$(sed -E 's/.*"job":"([^"]+)".*/\1/' <<< "$answer")")
done

echo "== sending requests for 10 s, trade in bursts of five times its mean"
# shellcheck disable=SC2046
"$stand_ins/caller_stand_in" $(seq -f '--entry 127.0.0.1:%g' 17201 17206) --seconds 10 \
    --flow quotes:shop-floor:example-shop-floor-key:80:20:urgent \
    --flow quotes:trade:example-trade-key:100:20:burst \
    --flow cut-plans:shop-floor:example-shop-floor-key:40:60 \
    --flow dye-batches:office:example-office-key:20:150 \
    --flow kiln-runs:office:example-office-key:10:200 \
    --flow orders:lab:example-lab-key:30:100:idempotent | tee "$work/requests.txt"

echo "== waiting for the jobs"
failed=0
for job in "${jobs[@]}"; do
    state=
    for _ in $(seq 100); do
        state=$("$build/main/radishvane" call "/v1/jobs/$job" --method GET --entry 127.0.0.1:17201 --key example-office-key 2> /dev/null \
            | sed -E 's/.*"state":"([^"]+)".*/\1/')
        case $state in done | failed | cancelled) break ;; esac
        sleep 0.2
    done
    if [ "$state" != done ]; then
        echo "job $job ended as '$state'"
        failed=$((failed + 1))
    fi
done
echo "jobs: ${#jobs[@]} submitted, $((${#jobs[@]} - failed)) done, $failed not done"
"$build/main/radishvane" status --operator 127.0.0.1:17301 --platform 127.0.0.1:17000

echo "== checking that no request and no job ran twice"
doubled=$(for port in $(seq 17100 17139) $(seq 17900 17907); do curl -fs "http://127.0.0.1:$port/executions"; echo; done \
    | grep -oE '"executions":\{[^}]*\}' | grep -oE '"[^"]+":[0-9]+' | sort | awk -F: '{count[$1] += $2} END {for (name in count) if (count[name] > 1) total++; print total + 0}')
echo "ran twice: $doubled"

echo "== stopping the entry hosts gracefully"
for name in "${entries[@]}"; do
    kill -TERM "${started[$name]}"
done
unstopped=0
for name in "${entries[@]}"; do
    if wait "${started[$name]}"; then
        unset "started[$name]"
    else
        unstopped=$((unstopped + 1))
    fi
done
left=$(curl -fs 'http://127.0.0.1:17000/table/rows?prefix=session/' | { grep -oE '"key"' || true; } | wc -l)
echo "entry hosts that did not stop: $unstopped; sessions left: $left"
if [ "$failed" -ne 0 ] || [ "$doubled" -ne 0 ] || [ "$unstopped" -ne 0 ] || [ "$left" -ne 0 ]; then
    echo "FAILED"
    exit 1
fi
echo "all answers were right"
