#!/usr/bin/env bash
# Runs the case on loopback: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-3.sh. The programs die with the driver, however it ends.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-3/harness && test -x target/system/sprucehatch-node || exit 2
folder=$(mktemp -d) || exit 2
TMPDIR=$folder target/review-3/harness released review/9 &
driver=$!
trap 'kill -9 "$driver" 2>/dev/null; wait "$driver" 2>/dev/null; rm -rf "$folder"; exit 2' TERM INT HUP
wait "$driver"
code=$?
rm -rf "$folder"
[ "$code" -le 2 ] || code=2
exit "$code"
