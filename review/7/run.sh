#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
export PROGRAM="$PWD/../../target/dist/cicadashift"
standins=../standins-2/target/release/review-standins-2
[ -x "$PROGRAM" ] && [ -x "$standins" ] || { echo "not built"; exit 2; }
# The stand-ins and the daemons that they start are one process group, which is ended here.
set -m
timeout 110 "$standins" quota-cut &
group=$!
trap 'kill -KILL -- -$group 2>/dev/null' EXIT
wait $group
code=$?
[ $code -le 1 ] || code=2
exit $code
