#!/bin/sh
# Builds the stand-ins of the second review's cases into build/review-2/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/[0-9]*/case.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  # Cases of the second review alone: those that stand on its kit.
  grep -q 'stand_ins_2/kit.h' "$source" || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -I review $(pkg-config --cflags nlohmann_json) \
    -o "build/review-2/case-$name" "$source" -pthread
done
