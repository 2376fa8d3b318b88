#!/bin/bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/review/build/case-$(basename "$here")
[ -x "$program" ] && [ -x "$root/build/thistleyoke" ] || { echo "build the project, then review/build-2.sh"; exit 2; }
timeout --kill-after=2 115 "$program" "$root" "$here"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
