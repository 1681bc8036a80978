#!/usr/bin/env bash
# Runs the case; review/build-2.sh builds it. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
work="$(mktemp -d)" || exit 2
trap 'rm -rf "$work"' EXIT
[ -x target/review-2/case-8 ] || { echo "run review/build-2.sh first"; exit 2; }
ROOT="$PWD" WORK="$work" RECORD="$PWD/review/8/record.txt" target/review-2/case-8
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
