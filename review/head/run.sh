#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
gateway=../../target/platform/shallotlatch-gateway
[ -x "$gateway" ] && [ -x build/case ] || {
  echo "build the deploy file's program and run review/build-3.sh first"
  exit 2
}
timeout -k 5 115 build/case "$(realpath "$gateway")" "$PWD"
status=$?
[ $status -le 1 ] || exit 2
exit $status
