#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Does nothing when all are present.
set -euo pipefail
packages=(
    g++ make cmake ninja-build ccache pkg-config git curl
    libboost1.81-dev libboost-program-options1.81-dev libboost-json1.81-dev libboost-system1.81-dev
    libflatbuffers-dev liblog4cplus-dev libtomlplusplus-dev catch2 librapidcheck-dev
    libsodium-dev libssl-dev openssl libxxhash-dev
    clang-14 libclang-rt-14-dev clang-format-14 clang-tidy-14
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
