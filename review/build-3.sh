#!/bin/sh
# Builds the cases 11 to 15 that are scripts, with their stand-ins, into target/review-3. Needs nothing but the Rust compiler; the
# program of the deploy file is built by the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -A warnings -o "target/review-3/case-$number" "$case"
done
