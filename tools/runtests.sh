#!/usr/bin/env bash
# The whole check: formatter, linter, tests, sanitizers, fixed-seed fuzz runs. Ends with CTest's summary of the plain build.
set -euo pipefail
cd "$(dirname "$0")/.."
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
jobs=$(nproc)

# Tests listed as "test: NAME" in KNOWN-RED.txt fail for a recorded fault; they are printed and passed over.
excluded='^$'
if [ -f KNOWN-RED.txt ]; then
    while IFS= read -r name; do
        echo "known red, passed over: $name"
        excluded="$excluded|^$(printf '%s' "$name" | sed 's/[][().*+?^$|\\]/\\&/g')\$"
    done < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi

build() { # folder, target, further CMake arguments
    local folder=$1 target=$2
    shift 2
    cmake -S . -B "$folder" -G Ninja "$@" > "$folder.configure.log" 2>&1 || { cat "$folder.configure.log"; return 1; }
    cmake --build "$folder" -j "$jobs" --target "$target" > "$folder.build.log" 2>&1 || { tail -n 60 "$folder.build.log"; return 1; }
}

echo "== build"
build build all
echo "== lint"
tools/lint.sh build
echo "== address and undefined behaviour sanitizers"
build build-asan all -DMIMOSAHOLLOW_SANITIZE=address,undefined
ASAN_OPTIONS=detect_leaks=1 ctest --test-dir build-asan --output-on-failure -j 4 -E "$excluded" | tail -n 60
echo "== thread sanitizer"
build build-tsan all -DMIMOSAHOLLOW_SANITIZE=thread
ctest --test-dir build-tsan --output-on-failure -j 4 -R '(rings|gateway|fleet|link|app|coordinator|ingress)' -E "$excluded" | tail -n 60
echo "== fuzz"
build build-fuzz fuzzers -DCMAKE_CXX_COMPILER=clang++-14 -DMIMOSAHOLLOW_FUZZ=ON -DMIMOSAHOLLOW_SANITIZE=address,undefined
tools/runfuzzers.sh build-fuzz
echo "== tests"
ctest --test-dir build --output-on-failure -j 4 -E "$excluded"
