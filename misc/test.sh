#!/usr/bin/env bash
# Format, layers, linters, all tests, and the tests under sanitizers. Ends with one line that counts the tests.
# Steps that do not need each other run side by side; the output of each is printed whole when it ends.
set -euo pipefail
cd "$(dirname "$0")/.."

passed=0
failed=0
broken=0
jobs=$(nproc)
# Without any optimization the random tests take minutes under the sanitizers.
debug_flags='-g1 -O1'
# The compiler cache serves every checkout of the same sources.
export CCACHE_NOHASHDIR=true CCACHE_BASEDIR=$PWD

work=$(mktemp -d)
declare -A running=()
finish() {
    for id in "${!running[@]}"; do
        kill -- "-$id" 2> /dev/null || true
    done
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 1' INT TERM

# The steps share the cores: compilers and linters hold a token of this pipe each.
mkfifo "$work/cores"
exec 8<> "$work/cores"
printf '%*s' "$jobs" '' | tr ' ' . >&8
export RADISHVANE_CORES=$work/cores CCACHE_PREFIX=$PWD/misc/with_core.sh

step() {
    printf '== %s (%s s)\n' "$1" "$SECONDS"
}

# Starts a step beside the others.
begin() {
    local name=$1
    shift
    # A process group of its own, which the end of the script can signal.
    set -m
    (
        set -euo pipefail
        trap - EXIT INT TERM
        step "$name"
        "$@"
    ) > "$work/$name" 2>&1 < /dev/null 8>&- &
    set +m
    running[$!]=$name
}

# Waits for all steps that have begun and prints each as it ends.
finish_steps() {
    local id status
    while [ "${#running[@]}" -gt 0 ]; do
        status=0
        wait -n -p id "${!running[@]}" || status=$?
        cat "$work/${running[$id]}"
        if [ "$status" -ne 0 ]; then
            echo "FAILED: ${running[$id]} ended with $status"
            broken=1
        fi
        printf -- '-- end of %s (%s s)\n' "${running[$id]}" "$SECONDS"
        unset "running[$id]"
    done
}

configure() {
    local name=$1
    shift
    cmake -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -S . -B "build/$name" "$@" > /dev/null
}

# Builds the targets of one configuration, all of them if none is named.
build() {
    local name=$1
    shift
    cmake --build "build/$name" -j "$jobs" "$@" > "$work/$name.build" || {
        cat "$work/$name.build"
        return 1
    }
    tail -n 1 "$work/$name.build"
}

build_release() {
    configure release
    build release
    step "clang-tidy"
    misc/clang_tidy.sh build/release
}

# The builds with sanitizers make only what their tests run.
build_address() {
    configure address -DRADISHVANE_SANITIZE=address,undefined -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="$debug_flags"
    build address --target unit_tests process_tests policy_benchmark fleet_benchmark
}

build_thread() {
    configure thread -DRADISHVANE_SANITIZE=thread -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="$debug_flags"
    build thread --target process_tests
}

# Runs the tests of one build on ports of its own; the list in KNOWN-RED.txt is passed over.
run_tests() {
    local name=$1 port_shift=$2
    shift 2
    local report=build/$name/tests.txt
    local skip=()
    if [ -n "$known_red" ]; then
        skip=(-E "$known_red")
    fi
    local status=0
    RADISHVANE_PORT_SHIFT=$port_shift ctest --test-dir "build/$name" --output-on-failure --no-tests=error -j "$jobs" \
        "${skip[@]}" "$@" > "$report" 2>&1 || status=$?
    if [ "$status" -eq 0 ]; then
        grep -E 'tests passed' "$report"
    else
        tail -n 80 "$report"
    fi
    local total bad
    total=$(sed -nE 's/.*tests failed out of ([0-9]+).*/\1/p; s/.*tests passed.* out of ([0-9]+).*/\1/p' "$report" | tail -n 1)
    bad=$(sed -nE 's/.* ([0-9]+) tests failed out of.*/\1/p' "$report" | tail -n 1)
    if [ "$status" -ne 0 ] && [ "${bad:-0}" -eq 0 ]; then
        echo "the tests of $name ended with $status without naming one that failed"
        return 1
    fi
    printf '%s %s\n' "$((${total:-0} - ${bad:-0}))" "${bad:-0}" > "$work/$name.count"
}

step "known red"
known_red=
if [ -s KNOWN-RED.txt ]; then
    cat KNOWN-RED.txt
    known_red=$(sed -nE 's/^test: ([^ ]+).*/^\1$/p' KNOWN-RED.txt | paste -sd '|' -)
else
    echo "none"
fi

step "format"
git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror

step "layers"
misc/check_core.sh
misc/check_platform.sh

step "builds and linters"
begin "build" build_release
begin "build with address and undefined behaviour sanitizers" build_address
begin "build with the thread sanitizer" build_thread
begin "cppcheck" misc/cppcheck.sh
finish_steps
[ "$broken" -eq 0 ]

# After the builds, since tests of separate processes measure times.
step "all tests"
begin "tests" run_tests release 0
begin "tests with address and undefined behaviour sanitizers" run_tests address -8000
begin "tests of servers with the thread sanitizer" \
    run_tests thread 6400 -R 'ProcessWholePath|ProcessClaims|ProcessRestart|ProcessConfiguration'
finish_steps

for name in release address thread; do
    if [ -e "$work/$name.count" ]; then
        read -r good bad < "$work/$name.count"
        passed=$((passed + good))
        failed=$((failed + bad))
    fi
done
step "end"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$broken" -eq 0 ]
