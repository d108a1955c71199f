# Sourced by the run.sh of a case: a small site of separate processes on loopback, and its end.
# A case sets `folder`; it calls start_site, play, and finish_site runs at the end.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
work=$(mktemp -d)
processes=()

finish_site() {
    local process
    for process in "${processes[@]}"; do
        kill -CONT "$process" 2> /dev/null || true
        kill -KILL "$process" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    [ -n "${KEEP:-}" ] && cp -r "$work" "$KEEP"
    rm -rf "$work"
}
trap finish_site EXIT

is_free() {
    ! (exec 3<> "/dev/tcp/127.0.0.1/$1") 2> /dev/null
}

# A range of free ports, below those that outgoing connections take.
find_ports() {
    local try offset
    for try in {1..50}; do
        base=$((20000 + RANDOM % 240 * 50))
        for offset in {0..39}; do
            is_free $((base + offset)) || continue 2
        done
        return 0
    done
    exit 2
}

# The settings of host $1, as deploy/site-settings.yaml gives them for the site hcbw-sched.
write_settings() {
    local first=$((base + 24 + 5 * $1))
    cat > "$work/entry-$1.yaml" << END
host: edge-$1
zone: mill-a
listen: "127.0.0.1:$first"
ready_listen: "127.0.0.1:$((first + 1))"
link_listen: "127.0.0.1:$((first + 2))"
metrics_listen: "127.0.0.1:$((first + 3))"
store: "127.0.0.1:$base"
host_service: "127.0.0.1:$((base + 1))"
host_orders_per_s: 64.0
most_hold_ms: 10000
worker_stop_ms: 400
keys_within_ms: 5000
cores: 0.25
core_speed: 1
link_mbps: 1000.0
stop_within_s: 6
keep_ended_s: 120
END
}

# Starts the platform with $1 workers, and $2 hosts with the command of the deploy file.
start_site() {
    local host first
    [ -x "$root/target/main/radishvaned" ] && [ -x "$root/target/review/platform" ] || exit 2
    find_ports
    "$root/target/review/platform" "$base" "$1" > "$work/platform.log" 2>&1 &
    processes+=($!)
    ports=()
    for ((host = 0; host < $2; host++)); do
        write_settings "$host"
        first=$((base + 24 + 5 * host))
        ports+=("$first" "$((first + 1))")
        (cd "$root" && exec target/main/radishvaned --site "$work/entry-$host.yaml") > "$work/entry-$host.log" 2>&1 &
        processes+=($!)
    done
}

# Plays case $1 of the callers, writes record.txt, and returns what they found.
play() {
    local code=0 process alive=0
    "$root/target/review/callers" "$1" "${TROUBLE:-1}" "$work/callers.txt" "$base" "${ports[@]}" || code=$?
    for process in "${processes[@]}"; do
        kill -0 "$process" 2> /dev/null && alive=$((alive + 1))
    done
    {
        echo "# What callers sent and were answered; 'at' is in milliseconds from the start."
        cat "$work/callers.txt"
        echo "# What the platform ran and refused; 'ms' is the machine's clock."
        cat "$work/platform.log"
        echo "# Changes of the owner, and writes that failed, by host."
        grep -hE 'ownership|store-write-failed|cell-rebuilt' "$work"/entry-*.log | sort | head -n 2000
        echo "# Processes at work at the end: $alive of ${#processes[@]}"
    } > "$folder/record.txt"
    return "$code"
}
