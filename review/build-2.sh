#!/bin/bash
# Builds what the scripts of review/6 to review/10 start, into review/build. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [6-9]/*.cpp 10/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. "$source" -o "build/case-$(dirname "$source")" &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit $status
