#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# The programs that the driver starts get a parent-death signal, so that none outlives it, however it ends.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-4
[ -x "$program" ] || { echo "$program is missing: run review/build-2.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
TMPDIR=$folder "$program" . review/4/record.txt &
driver=$!
trap 'kill -9 "$driver" 2>/dev/null; rm -rf "$folder"; exit 2' TERM INT HUP
wait "$driver"
code=$?
rm -rf "$folder"
[ "$code" -le 2 ] || code=2
exit "$code"
