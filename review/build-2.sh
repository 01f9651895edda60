#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, after the build of the deploy file. Needs g++ only.
set -euo pipefail
review=$(cd "$(dirname "$0")" && pwd)
out=$review/../target/review-2
mkdir -p "$out"
for source in "$review"/standins-2/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "$out/$(basename "$source" .cpp)" "$source"
done
