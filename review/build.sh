#!/bin/sh
# Builds the stand-ins of review/ into review/build, with the compiler and the libraries of the project's own build.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in [123]/*.cpp; do
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -o "build/case-$(dirname "$source")" "$source"
done
