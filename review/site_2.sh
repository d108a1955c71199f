# Sourced by the scripts of cases 6 to 10, which run in their own folders: starts a small site of separate processes on
# loopback addresses and ends all that was started.
#
# The caller sets `case_folder`, `record` and `trouble` first.

root=$(cd "$case_folder/../.." && pwd)
tools=$root/target/review-2
host=site.example
key=key-1
: > "$record"
work=$(mktemp -d)
declare -A started

now() {
    date +%s%3N
}

note() {
    echo "$(now) $*" >> "$record"
}

# Ends the script with 2: the case could not run.
give_up() {
    note "could not run: $*"
    echo "could not run: $*"
    exit 2
}

verdict() {
    local code=$1
    shift
    note "verdict: $*"
    echo "$*"
    exit "$code"
}

finish() {
    local name
    for name in "${!started[@]}"; do
        kill -CONT "${started[$name]}" 2> /dev/null || true
        kill -KILL "${started[$name]}" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    rm -rf "$work"
}
trap finish EXIT

for tool in platform worker link ask; do
    [ -x "$tools/${tool}_2" ] || give_up "review/build-2.sh has not built ${tool}_2"
done
[ -x "$root/target/main/radishvaned" ] || give_up "the build of the deploy file has not built radishvaned"

# Starts a program under a name, with its output in the folder of the run.
start() {
    local name=$1
    shift
    "$@" >> "$work/$name.log" 2>&1 &
    started[$name]=$!
    disown
}

signal_to() {
    local signal=$1 name=$2
    note "signal $signal to $name"
    kill "-$signal" "${started[$name]}"
}

# kill_hard NAME: the process is gone when this returns.
kill_hard() {
    signal_to KILL "$1"
    while kill -0 "${started[$1]}" 2> /dev/null; do
        sleep 0.01
    done
}

# wait_for SECONDS COMMAND...: runs the command until it succeeds.
wait_for() {
    local until=$(($(now) + $1 * 1000))
    shift
    until "$@"; do
        [ "$(now)" -lt "$until" ] || return 1
        sleep 0.02
    done
}

# Runs side by side have blocks of their own: whoever holds the last port of a block has it.
is_claimed_or_gone() {
    grep -q claimed "$work/claim.log" || ! kill -0 "${started[claim]}" 2> /dev/null
}

claim_ports() {
    local attempt
    for attempt in 1 2 3 4 5 6 7 8 9 10; do
        ports=$("$tools/ask_2" ports=120) || return 1
        : > "$work/claim.log"
        start claim "$tools/ask_2" claim=$((ports + 119))
        wait_for 5 is_claimed_or_gone || return 1
        ! grep -q claimed "$work/claim.log" || return 0
    done
    return 1
}

claim_ports || give_up "no free ports"
store_port=$ports

# port_of KIND NUMBER
port_of() {
    case $1 in
    caller) echo $((ports + 10 + 4 * $2)) ;;
    ready) echo $((ports + 11 + 4 * $2)) ;;
    link) echo $((ports + 12 + 4 * $2)) ;;
    metrics) echo $((ports + 13 + 4 * $2)) ;;
    worker) echo $((ports + 40 + $2)) ;;
    way) echo $((ports + 70 + $2)) ;;
    esac
}

# start_platform [NAME=VALUE...]
start_platform() {
    start platform "$tools/platform_2" port="$store_port" record="$record" "$@"
    wait_for 5 is_answering "$store_port" "/-/rows-get?table=op&part=" || give_up "the platform does not start"
}

is_answering() {
    [ "$("$tools/ask_2" port="$1" path="$2" timeout=500 | cut -d' ' -f1)" = 200 ]
}

control() {
    note "operator: $1"
    "$tools/ask_2" port="$store_port" path=/control method=POST body="$1" > /dev/null
}

# start_worker NUMBER ZONE LABELS [NAME=VALUE...]; its process has the name worker-NUMBER.
start_worker() {
    local number=$1 zone=$2 labels=$3
    shift 3
    start "worker-$number" "$tools/worker_2" id="i-$number" port="$(port_of worker "$number")" store="$store_port" \
        service=looms zone="$zone" labels="$labels" machine="m-$number" record="$record" "$@"
}

# start_entry NUMBER ZONE [STORE_PORT]: an entry host with the template's settings and the bounds of the small sites.
start_entry() {
    local number=$1 zone=$2 store=${3:-$store_port}
    cat > "$work/entry-$number.yaml" << SETTINGS
host: entry-$number
zone: $zone
listen: "127.0.0.1:$(port_of caller "$number")"
ready_listen: "127.0.0.1:$(port_of ready "$number")"
link_listen: "127.0.0.1:$(port_of link "$number")"
metrics_listen: "127.0.0.1:$(port_of metrics "$number")"
store: "127.0.0.1:$store"
store_row_bytes: 65536
host_service: "127.0.0.1:$((store_port + 1))"
host_orders_per_s: 64
admission: "127.0.0.1:$((store_port + 2))"
most_hold_ms: ${most_hold_ms:-10000}
worker_stop_ms: ${worker_stop_ms:-400}
keys_within_ms: 5000
cores: 0.25
core_speed: 1
link_mbps: 1000
stop_within_s: 6
keep_ended_s: 120
SETTINGS
    note "start entry-$number"
    start "entry-$number" "$root/target/main/radishvaned" --site "$work/entry-$number.yaml"
}

wait_ready() {
    wait_for 15 is_answering "$(port_of ready "$1")" /-/ready || give_up "entry-$1 is not ready"
}

# The entry host that took the cell last.
owner() {
    grep -H '"ownership-taken"' "$work"/entry-*.log | sed 's/.*entry-\([0-9]*\)\.log:.*"ts":\([0-9]*\).*/\2 \1/' |
        sort -n | tail -n 1 | cut -d' ' -f2
}

has_owner() {
    [ -n "$(owner)" ]
}

# call METHOD ENTRY PATH [BODY]: makes a client's call, writes it down, prints status and body.
call() {
    local answer
    answer=$("$tools/ask_2" method="$1" port="$(port_of caller "$2")" path="$3" host="$host" key="$key" body="${4:-}")
    note "client: $1 $3 at entry-$2 -> $answer"
    echo "$answer"
}

# submit JOB BODY ENTRY...: hands a job in, at one host after the other, until it is accepted.
submit() {
    local job=$1 body=$2 entry attempt
    shift 2
    for attempt in 1 2 3 4 5 6 7 8 9 10; do
        for entry in "$@"; do
            [ "$(call POST "$entry" "/plans/$job" "$body" | cut -d' ' -f1)" != 200 ] || return 0
        done
        sleep 0.3
    done
    give_up "job $job is not accepted"
}

# state JOB ENTRY...: the state that the first answering host shows.
state() {
    local job=$1 entry answer
    shift
    for entry in "$@"; do
        answer=$(call GET "$entry" "/plans/$job")
        if [ "${answer%% *}" = 200 ]; then
            sed 's/.*"state":"\([a-z]*\)".*/\1/' <<< "$answer"
            return
        fi
    done
    echo unknown
}

# write_config [MORE_OF_THE_ROUTE]
write_config() {
    control '{"config":{"version":3,"routes":[{"name":"q","host":"'"$host"'","prefix":"/plans/","service":"looms","priority":0,"maxAttempts":3,"stretch":1.6,"targetDurationMs":600'"${1:-}"'}],"services":[{"name":"looms"}],"limits":{},"tenants":[{"name":"t","weight":10,"cap":{"cpu":0,"memMb":0,"gpus":0},"apiKeys":["'"$key"'"]}]}}'
}

has_lines() {
    [ "$(grep -c "$2" "$record" || true)" -ge "$1" ]
}

is_past() {
    [ "$(now)" -ge "$1" ]
}
