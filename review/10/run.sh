#!/usr/bin/env bash
# Runs the case; review/build-2.sh builds it. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-10 ] || { echo "run review/build-2.sh first"; exit 2; }
work="$(mktemp -d)" || exit 2
case_pid=
# Ends all that was started, also if this script is ended early.
end() {
    [ -z "$case_pid" ] || kill -9 "$case_pid" 2> /dev/null
    [ ! -e "$work/pids" ] || xargs -r kill -9 < "$work/pids" 2> /dev/null
    rm -rf "$work"
}
trap end EXIT
trap 'exit 2' INT TERM
ROOT="$PWD" WORK="$work" RECORD="$PWD/review/10/record.txt" target/review-2/case-10 &
case_pid=$!
wait "$case_pid"
status=$?
case_pid=
[ "$status" -le 1 ] || status=2
exit "$status"
