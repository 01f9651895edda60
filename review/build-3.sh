#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start; the deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/standin-3/*.cpp -o target/review-3/review-3
