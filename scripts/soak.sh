#!/usr/bin/env bash
# The seeded soak of real gateway processes. Judges promises only.
# Usage: scripts/soak.sh SEED...      these seeds, one after the other
#        scripts/soak.sh --known      the seeds that ever failed
#        scripts/soak.sh --fresh N    N seeds drawn now
# SECONDS_EACH: length of the faults; LANE: picks the ports, for parallel runs.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh build
length=${SECONDS_EACH:-12}
lane=${LANE:-0}
seeds=("$@")
case ${1:-} in
--known) mapfile -t seeds < <(grep -oE '^[0-9]+' tests/soak-seeds) ;;
--fresh) mapfile -t seeds < <(od -An -N$((4 * $2)) -tu4 -w4 /dev/urandom | tr -d ' ') ;;
esac
failed=0
for seed in "${seeds[@]}"; do
  folder=$(mktemp -d)
  if build/tools/shallot-soak --program build/platform/shallotlatch-gateway \
    --folder "$folder" --seed "$seed" --seconds "$length" --quiet \
    --first-port $((20000 + 200 * lane)); then
    rm -rf "$folder"
  else
    failed=$((failed + 1))
    echo "seed $seed failed; the hosts' logs are in $folder"
  fi
done
echo "$((${#seeds[@]} - failed)) passed, $failed failed"
[ $failed -eq 0 ]
