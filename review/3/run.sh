#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../build/case-3 ] && [ -x ../../build/thistleyoke ] || { echo "build first: deploy/balancer.toml, review/build.sh" >&2; exit 2; }
exec timeout -k 1 110 ../build/case-3 "$(cd ../.. && pwd)" "$(pwd)/record.txt"
