#!/usr/bin/env bash
# Checks formatting, layering and the linter's rules. Usage: tools/lint.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mapfile -t files < <(git ls-files '*.cpp' '*.h' | grep -v '^src/generated/')
clang-format-14 --dry-run --Werror "${files[@]}"
tools/checklayers.sh
mapfile -t sources < <(git ls-files 'src/*.cpp' 'platform/*.cpp' | grep -v '^src/generated/')
# GCC-only warning options in the compile commands are unknown to clang-tidy and must not count as errors.
printf '%s\0' "${sources[@]}" | xargs -0 -n 4 -P "$(nproc)" clang-tidy-14 -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option --extra-arg=-Wno-error 2> >(grep -v "warnings generated" >&2)
echo "lint: ${#files[@]} files formatted, ${#sources[@]} sources checked"
