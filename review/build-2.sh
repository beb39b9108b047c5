#!/usr/bin/env bash
# Builds the programs of the cases from 6 on, with the stand-ins that they
# contain, into the folder build of each case.
set -euo pipefail
cd "$(dirname "$0")"
objects=$(mktemp -d)
trap 'rm -rf "$objects"' EXIT
flags=(-std=c++17 -O2 -Wall -Wextra)
for source in kit2/*.cpp; do
  g++ "${flags[@]}" -c "$source" -o "$objects/$(basename "${source%.cpp}").o" &
done
wait
for source in 6 7 8 9 10; do
  [ -f "$source/case.cpp" ] || continue
  mkdir -p "$source/build"
  g++ "${flags[@]}" "$source/case.cpp" "$objects"/*.o -o "$source/build/case"
done
