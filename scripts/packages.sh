#!/usr/bin/env bash
# Installs what building and testing need on a fresh Debian 12. Does nothing where all is there.
set -euo pipefail
packages=(g++ cmake ninja-build ccache make git python3 clang-format clang-tidy clang
    libboost-dev libboost-system-dev libboost-coroutine-dev libboost-context-dev libwebsocketpp-dev
    prometheus-cpp-dev librapidcheck-dev libcxxopts-dev libfmt-dev nlohmann-json3-dev libinih-dev
    libexpected-dev libspdlog-dev libxxhash-dev libssl-dev zlib1g-dev libgtest-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
