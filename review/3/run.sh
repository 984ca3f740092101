#!/bin/sh
# 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0: the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
case=$root/target/review/case-$(basename "$here")
[ -x "$case" ] || exit 2
exec "$case" "$root/target/system/sprucehatch-node" "$here/record.txt" "${TROUBLE:-1}"
