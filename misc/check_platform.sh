#!/usr/bin/env bash
# Only platform/ and deploy/ know the names of the users' platform; everything else keeps the project's own words.
set -euo pipefail
cd "$(dirname "$0")/.."

names='rows-tx|rows-get|rows-feed|run-start|run-stop|machine-upkeep|machine-move|ackSeq|endedRuns|lastCheckpoint'
names+='|fencingToken|expectedRev|estimateMs|savesProgress|longRunning|antiAffinity|mayMiss|maxAttempts|apiKeys|farFactor'
names+='|coldLeftMs|X-Radishvane-(Target-Instance|Lease-Holder|Fencing-Token|Instance-Id)|X-Api-Key|RADISHVANE_BOOT'
if git grep -nE "$names" -- core drivers servers main; then
    echo "a name of the users' platform stands outside platform/ and deploy/" >&2
    exit 1
fi
if git grep -nE '#include "(servers|main|tests)/' -- platform; then
    echo "platform depends on a layer above it" >&2
    exit 1
fi
if git grep -nE '#include "platform/' -- core drivers; then
    echo "a layer below platform depends on it" >&2
    exit 1
fi
echo "platform: its names stay in platform/ and deploy/"
