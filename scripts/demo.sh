#!/usr/bin/env bash
# Runs one deployment on loopback, sends its mix, and counts the answers
# against what the stand-ins ran. Usage: scripts/demo.sh [pauta|haneul]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-pauta}
rate=${RATE:-40}
length=${LENGTH:-20}
scripts/install.sh
scripts/build.sh build
bin=$PWD/build
work=$(mktemp -d)
. scripts/fleet.sh
region_names >/dev/null
trap 'stop_fleet; rm -rf "$work"' EXIT
start_fleet
ctl --admin "$all_admins" report >/dev/null
status=0
"$bin/tools/shallot-load" mix --hosts "$all_callers" --deployment "$deployment" \
  --config "$work/config.json" --rate "$rate" --seconds "$length" \
  --label demo >"$work/result.txt" || status=$?
ctl --admin "$all_admins" report
cat "$work/result.txt"
exit $status
