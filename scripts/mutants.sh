#!/usr/bin/env bash
# Shows that the checks bite: builds the tests once for each deliberately broken
# variant, on a copy of the sources, and prints how each was caught. Fails if
# one survives. tests/mutants go to the stateful fuzz, tests/mutants-gateway to
# the unit tests; a test that KNOWN-RED.txt lists catches nothing. An argument
# (fuzz or gateway) picks one of the two.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${RUNS:-1500}
which=${1:-all}
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$copy"
cmake -G Ninja -B "$copy/build" -S "$copy" >"$copy/cmake.log"
survivors=0

# variants FOLDER PROGRAM ARGUMENTS...
variants() {
  local folder=$1 program=$2
  shift 2
  ninja -C "$copy/build" --quiet "$program"
  for patch in "$PWD/tests/$folder"/*.patch; do
    name=$(basename "$patch" .patch)
    patch -s -p1 -d "$copy" <"$patch"
    ninja -C "$copy/build" --quiet "$program"
    status=0
    timeout 60 "$copy/scripts/known_red.sh" "$copy/build/tests/$program" "$@" \
      >"$copy/out.txt" 2>&1 || status=$?
    if [ $status -eq 0 ]; then
      echo "$name: SURVIVED"
      survivors=$((survivors + 1))
    elif [ $status -eq 124 ]; then
      echo "$name: caught, it does not end within 60 s"
    else
      echo "$name: caught, $(grep -h -m1 -oE 'Falsifiable after [0-9]+ tests?|Failure in TEST.*' "$copy/out.txt" || echo 'by a crash')"
    fi
    patch -s -R -p1 -d "$copy" <"$patch"
  done
}

[ "$which" = gateway ] || variants mutants shallot-fuzz "$runs" 20261204 noshrink
[ "$which" = fuzz ] || variants mutants-gateway shallot-tests -v
[ $survivors -eq 0 ]
