#!/usr/bin/env bash
# Installs everything that the build, the tests and the checks need, from Debian's registry.
set -euo pipefail

packages=(
    g++ cmake ninja-build make pkg-config ccache git curl
    clang-format clang-tidy cppcheck
    libsigc++-3.0-dev libevent-dev libcereal-dev libyaml-cpp-dev libcli11-dev
    libeasyloggingpp-dev libboost-dev nlohmann-json3-dev
    libgtest-dev libgmock-dev libbenchmark-dev librapidcheck-dev
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed'; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" > /dev/null
