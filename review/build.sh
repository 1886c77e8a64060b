#!/bin/sh
# Builds the stand-ins of the cases into review/bin.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for source in stand_ins/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "bin/$(basename "$source" .cpp)" "$source"
done
