#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they contain, into
# the folder build of each case.
set -euo pipefail
cd "$(dirname "$0")"
objects=$(mktemp -d)
trap 'rm -rf "$objects"' EXIT
flags=(-std=c++17 -O2 -Wall -Wextra -pthread)
for source in *.cpp; do
  g++ "${flags[@]}" -c "$source" -o "$objects/${source%.cpp}.o"
done
for source in [1-5]/case.cpp; do
  folder=$(dirname "$source")
  mkdir -p "$folder/build"
  g++ "${flags[@]}" "$source" "$objects"/*.o -o "$folder/build/case"
done
