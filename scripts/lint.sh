#!/usr/bin/env bash
# Runs clang-tidy over all sources; any finding fails.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh build
git ls-files '*.cpp' | grep -v '^schema/' |
  xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
