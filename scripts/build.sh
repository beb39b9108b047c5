#!/usr/bin/env bash
# Builds into the folder named by the first argument; the rest goes to cmake.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
[ $# -gt 0 ] && shift
if [ ! -f "$folder/build.ninja" ] || [ $# -gt 0 ]; then
  cmake -G Ninja -B "$folder" "$@" >"$folder.log" 2>&1 || {
    cat "$folder.log"
    exit 1
  }
fi
ninja -C "$folder" --quiet
