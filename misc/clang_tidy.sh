#!/usr/bin/env bash
# Runs clang-tidy over the sources, but for those that have passed with the same content, headers, flags, settings and tool.
# usage: misc/clang_tidy.sh BUILD; BUILD is a folder with a complete build, which knows the headers of each source.
set -euo pipefail
cd "$(dirname "$0")/.."

build=$1
passed=${XDG_CACHE_HOME:-${HOME:-$PWD/build}/.cache}/radishvane-lint/clang-tidy
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$passed" "$work/sources"
find "$passed" -type f -mtime +30 -delete

sources=$(git ls-files 'core/*.cpp' 'drivers/*.cpp' 'platform/*.cpp' 'servers/*.cpp' 'main/*.cpp')
{ clang-tidy --version; git ls-files -co --exclude-standard '*.clang-tidy' | xargs sha256sum; sha256sum < misc/clang_tidy.sh; } > "$work/settings"

# A key for each source: the settings, its command and the content of all that it includes, without the checkout's folder.
ninja -C "$build" -t deps > "$work/headers"
(cd "$build" && sed -n 's/^    //p' "$work/headers" | sort -u | tr '\n' '\0' | xargs -0 sha256sum) > "$work/contents"
awk -v root="$PWD/" -v folder="$work/sources/" '
    function relative(path) { if (index(path, root) == 1) path = substr(path, length(root) + 1); sub(/^(\.\.\/)+/, "", path); return path }
    FILENAME ~ /contents$/ { content[substr($0, 67)] = substr($0, 1, 64); next }
    FILENAME ~ /headers$/ {
        if (/^    /) {
            path = substr($0, 5)
            if (source == "") source = relative(path)
            headers[source] = headers[source] relative(path) " " content[path] "\n"
        } else {
            source = ""
        }
        next
    }
    /"command":/ { command = $0; while (at = index(command, root)) command = substr(command, 1, at - 1) substr(command, at + length(root)) }
    /"file":/ {
        split($0, parts, "\"")
        source = relative(parts[4])
        name = source
        gsub("/", "%", name)
        printf "%s\n%s", command, headers[source] > (folder name)
        close(folder name)
    }' "$work/contents" "$work/headers" "$build/compile_commands.json"

unchanged=0
while read -r source; do
    part=$work/sources/${source//\//%}
    if ! grep -q " [0-9a-f]\{64\}$" "$part" || grep -q " $" "$part"; then
        echo "$source: its headers are not known; is the build complete?" >&2
        exit 1
    fi
    key=$(cat "$work/settings" "$part" | sha256sum | cut -c 1-64)
    if [ -e "$passed/$key" ]; then
        touch "$passed/$key"
        unchanged=$((unchanged + 1))
    else
        printf '%s %s\n' "$key" "$source" >> "$work/changed"
    fi
done <<< "$sources"
echo "unchanged since it passed: $unchanged files"

check() {
    local key=$1 source=$2 found status=0
    found=$(misc/with_core.sh clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option "$source" 2> /dev/null) || status=1
    if [ -n "$found" ]; then
        printf '%s\n' "$found"
    fi
    if [ "$status" -eq 0 ]; then
        : > "$passed/$key"
    fi
    return "$status"
}
export -f check
export build passed
if [ -s "$work/changed" ]; then
    echo "checked: $(wc -l < "$work/changed") files"
    # Long ones first, so that none of them is left for the end.
    while read -r key source; do
        printf '%s %s %s\n' "$(wc -c < "$source")" "$key" "$source"
    done < "$work/changed" | sort -rn | cut -d ' ' -f 2- | xargs -P "$(nproc)" -n 2 bash -c 'check "$@"' check
fi
