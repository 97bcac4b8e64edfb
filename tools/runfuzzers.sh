#!/usr/bin/env bash
# Runs each fuzz target for a fixed number of inputs from a fixed seed. Usage: tools/runfuzzers.sh BUILD_FOLDER
set -euo pipefail
build=${1:-build-fuzz}
for target in "$build"/fuzz_*; do
    [ -x "$target" ] && [ -f "$target" ] || continue
    echo "fuzz: $(basename "$target"), seed 20261204, 20000 inputs"
    "$target" -seed=20261204 -runs=20000 -max_len=4096 -rss_limit_mb=1024 2>&1 | tail -n 3
done
