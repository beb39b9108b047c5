#!/usr/bin/env bash
# Formats all sources, or with --check only tells which are not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=-i
[ "${1:-}" = --check ] && mode="--dry-run --Werror"
git ls-files '*.cpp' '*.h' | grep -v '^schema/' | xargs clang-format $mode
