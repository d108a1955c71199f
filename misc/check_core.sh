#!/usr/bin/env bash
# The core decides and does nothing else: no header of it may bring in input, output, threads, clocks or logging.
set -euo pipefail
cd "$(dirname "$0")/.."

forbidden='#include <(event2|sys/|netinet|arpa|unistd|fcntl|thread|mutex|condition_variable|future|fstream|iostream|cstdio|filesystem|sigc|cereal|yaml-cpp|nlohmann|easylogging|CLI)'
if git grep -nE "$forbidden" -- core; then
    echo "core includes a header that does input or output" >&2
    exit 1
fi
if git grep -nE '(system_clock|steady_clock|high_resolution_clock)::now' -- core; then
    echo "core reads a clock" >&2
    exit 1
fi
if git grep -nE '#include "(drivers|servers|main|tests)/' -- core; then
    echo "core depends on a layer above it" >&2
    exit 1
fi
if git grep -nE '#include "(servers|main|tests)/' -- drivers || git grep -nE '#include "(main|tests)/' -- servers; then
    echo "a layer depends on one above it" >&2
    exit 1
fi
echo "core: no input or output, and layers depend downwards only"
