#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not be run.
# Build before: the build of deploy/system.toml, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/lab ] || { echo "review/build-2.sh was not run"; exit 2; }
[ -x target/release/clementinepickd ] || { echo "the deploy file was not built"; exit 2; }
target/review-2/lab gone review/7
status=$?
[ $status -le 1 ] || status=2
exit $status
