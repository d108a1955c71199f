#!/usr/bin/env bash
# Runs cppcheck over the sources, unless it has passed with the same content, arguments and tool.
set -euo pipefail
cd "$(dirname "$0")/.."

folders=(core drivers platform servers main)
arguments=(--quiet --std=c++20 --language=c++ --enable=warning,performance,portability --inline-suppr
    --suppress=missingIncludeSystem --suppress=passedByValue --suppress=noExplicitConstructor --error-exitcode=1 -I .)
passed=${XDG_CACHE_HOME:-${HOME:-$PWD/build}/.cache}/radishvane-lint/cppcheck
mkdir -p "$passed"
find "$passed" -type f -mtime +30 -delete

contents() {
    find "${folders[@]}" \( -name '*.cpp' -o -name '*.h' \) -print0 | sort -z | xargs -0 sha256sum
}
count=$(find "${folders[@]}" -name '*.cpp' | wc -l)
key=$({ cppcheck --version; echo "${arguments[*]} ${folders[*]}"; contents; } | sha256sum | cut -c 1-64)
if [ -e "$passed/$key" ]; then
    touch "$passed/$key"
    echo "unchanged since it passed: $count files"
    exit 0
fi
echo "checked: $count files"
misc/with_core.sh cppcheck "${arguments[@]}" -j 2 "${folders[@]}"
: > "$passed/$key"
