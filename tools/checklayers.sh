#!/usr/bin/env bash
# Fails when decision code includes a header for input, output, clocks, threads or files, or a header of an adapter. Plain event structs and pure codecs are allowed.
set -euo pipefail
cd "$(dirname "$0")/.."
folders=()
for module in core admission scheduling routing control membership serving coordination catalog fleetstate registry allowance placement dispatch voterplan feed quarantine callpermits serverpace duties fleetsize hedging callerlimits staleload controltraffic; do
    for folder in "include/mimosahollow/$module" "src/$module"; do
        [ -d "$folder" ] && folders+=("$folder")
    done
done
forbidden='#include <(thread|mutex|condition_variable|atomic|fstream|iostream|filesystem|sys/|unistd|fcntl|boost/asio|boost/beast|log4cplus|toml)|#include ["<]mimosahollow/(gateway/(gateway|ordersender)|storage/|link/link|admin/|settings/|observability/|app/)|::now\(\)|std::random_device'
if grep -rnE "$forbidden" "${folders[@]}"; then
    echo "checklayers: decision code must not use the lines above" >&2
    exit 1
fi
