#!/usr/bin/env bash
# Installs, builds and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh build
cd build
ctest --output-on-failure -j "$(nproc)"
