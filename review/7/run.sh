#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-7
[ -x "$program" ] || { echo "$program is missing: run review/build-2.sh" >&2; exit 2; }
exec "$program" . review/7/record.txt
