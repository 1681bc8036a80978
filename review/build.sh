#!/usr/bin/env bash
# Builds the programs of the cases: stand-ins for the store, replicas and requesters. They need rustc and no library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/case.rs; do
    [ -f "$case" ] || continue
    number="$(basename "$(dirname "$case")")"
    rustc --edition 2021 -O -o "target/review/case$number" "$case"
done
