#!/usr/bin/env bash
# Writes the golden files anew and shows what changed, for review.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh build
SHALLOT_ACCEPT_GOLDEN=1 build/tests/shallot-tests -g GoldenSessions
git --no-pager diff --stat -- tests/golden
git --no-pager diff -- tests/golden
