#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they contain.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++17 -O2 -Wall -Wextra -pthread)
objects=()
for source in standin/*.cpp; do
  object=build/$(basename "$source" .cpp).o
  g++ "${flags[@]}" -c "$source" -o "$object"
  case $source in
  standin/case_*) ;;
  *) objects+=("$object") ;;
  esac
done
for source in standin/case_*.cpp; do
  name=$(basename "$source" .cpp)
  g++ "${flags[@]}" "build/$name.o" "${objects[@]}" -o "build/$name"
done
