#!/bin/bash
# Builds what the scripts of review/6 to review/10 start, into review/build. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [6-9]/*.cpp 10/*.cpp; do
  [ -e "$source" ] || continue
  program=build/case-$(dirname "$source")
  if [ "$program" -nt "$source" ] && [ "$program" -nt stand_ins_2/kit.hpp ]; then continue; fi
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. "$source" -o "$program"
done
