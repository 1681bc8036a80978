#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-3/case-13 || exit 2
CASE="$PWD/review/13" exec target/review-3/case-13
