#!/usr/bin/env bash
# Format, layers, linters, all tests, and the tests under sanitizers. Ends with one line that counts the tests.
set -euo pipefail
cd "$(dirname "$0")/.."

passed=0
failed=0
jobs=$(nproc)
# Without any optimization the random tests take minutes under the sanitizers.
debug_flags='-g1 -O1'
# The compiler cache serves every checkout of the same sources.
export CCACHE_NOHASHDIR=true CCACHE_BASEDIR=$PWD

step() {
    printf '== %s (%s s)\n' "$1" "$SECONDS"
}

configure() {
    local name=$1
    shift
    cmake -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -S . -B "build/$name" "$@" > /dev/null
}

# Runs the tests of one build; the list in KNOWN-RED.txt is printed and passed over.
run_tests() {
    local name=$1
    shift
    local report=build/$name/tests.txt
    local skip=()
    if [ -n "$known_red" ]; then
        skip=(-E "$known_red")
    fi
    if ctest --test-dir "build/$name" --output-on-failure --no-tests=error -j "$jobs" "${skip[@]}" "$@" > "$report" 2>&1; then
        grep -E 'tests passed' "$report"
    else
        tail -n 80 "$report"
    fi
    local total bad
    total=$(sed -nE 's/.*tests failed out of ([0-9]+).*/\1/p; s/.*tests passed.* out of ([0-9]+).*/\1/p' "$report" | tail -n 1)
    bad=$(sed -nE 's/.* ([0-9]+) tests failed out of.*/\1/p' "$report" | tail -n 1)
    passed=$((passed + ${total:-0} - ${bad:-0}))
    failed=$((failed + ${bad:-0}))
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

step "build"
configure release
cmake --build build/release | tail -n 1

step "clang-tidy"
git ls-files 'core/*.cpp' 'drivers/*.cpp' 'platform/*.cpp' 'servers/*.cpp' 'main/*.cpp' \
    | xargs -P "$jobs" -n 3 clang-tidy -p build/release --quiet --extra-arg=-Wno-unknown-warning-option 2> /dev/null
step "cppcheck"
cppcheck --quiet --std=c++20 --language=c++ -j "$jobs" --enable=warning,performance,portability --inline-suppr \
    --suppress=missingIncludeSystem --suppress=passedByValue --suppress=noExplicitConstructor \
    --error-exitcode=1 -I . core drivers platform servers main

step "tests"
run_tests release

step "tests with address and undefined behaviour sanitizers"
configure address -DRADISHVANE_SANITIZE=address,undefined -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="$debug_flags"
cmake --build build/address | tail -n 1
run_tests address

step "tests of servers with the thread sanitizer"
configure thread -DRADISHVANE_SANITIZE=thread -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="$debug_flags"
cmake --build build/thread | tail -n 1
run_tests thread -R 'ProcessWholePath|ProcessClaims|ProcessRestart|ProcessConfiguration'

step "end"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
