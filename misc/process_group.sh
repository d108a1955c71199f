# Sourced by scripts that start processes: a folder for their files, and their end with the script's.

work=$(mktemp -d)
declare -A started

# Starts a program under a name, with its output in the folder.
start() {
    local name=$1
    shift
    "$@" > "$work/$name.log" 2>&1 &
    started[$name]=$!
}

finish() {
    for name in "${!started[@]}"; do
        kill -KILL "${started[$name]}" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    rm -rf "$work"
}
trap finish EXIT
