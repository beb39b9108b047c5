#!/usr/bin/env bash
# Builds the programs of the cases from 11 on, with the stand-ins that they
# contain, into the folder build of each case.
set -euo pipefail
cd "$(dirname "$0")"
for source in 1[1-5]/case.cpp; do
  [ -f "$source" ] || continue
  folder=$(dirname "$source")/build
  mkdir -p "$folder"
  g++ -std=c++17 -O1 -Wall -Wextra -pthread kit3/*.cpp "$source" -o "$folder/case"
done
