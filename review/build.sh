#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for scenario in review/standins/scenario-*.cpp; do
    name=$(basename "$scenario" .cpp)
    g++ -std=c++20 -O1 -pthread -o "target/review/$name" "$scenario" review/standins/standins.cpp
done
