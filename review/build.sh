#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Needs the compiler that the build of the deploy file needs, nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$name" "$source"
done
