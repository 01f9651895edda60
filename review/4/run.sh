#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/review/scenario-rejoin"
[ -x "$program" ] && [ -x "$root/target/tools/jasminemast/jasminemast" ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$root"
timeout --kill-after=5 100 "$program" "$root" "$folder" "$here/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
