#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and of review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
RECORD=$here/record.txt
PIDS=$(mktemp)
export ROOT RECORD PIDS
timeout --signal=KILL 115 "$ROOT/target/review/case-$(basename "$here")"
code=$?
# The case ends its gateways itself, unless it was killed.
while read -r pid; do
    if tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -q clementinepickd; then
        kill -KILL "$pid"
    fi
done <"$PIDS"
rm -f "$PIDS"
[ "$code" -le 1 ] || code=2
exit "$code"
