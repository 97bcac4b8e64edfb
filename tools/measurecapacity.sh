#!/usr/bin/env bash
# Prints the figures behind docs/CAPACITY.md and docs/measurements.md. Usage: tools/measurecapacity.sh BUILD_FOLDER
set -euo pipefail
build=${1:-build}
for program in membership admission scheduling control link gateway; do
    echo "== benchmark_$program"
    if [ "$program" = control ]; then
        "$build/benchmark_$program" "$build"
    else
        "$build/benchmark_$program"
    fi
done
echo "== benchmark_policy"
"$build/benchmark_policy" 5
