#!/usr/bin/env bash
# Six daemons under load while hosts are killed, frozen and replaced and the
# store goes away, on a seeded schedule. Judges only the promises: nothing
# lost, nothing doubled, no untruthful verdict.
# Usage: scripts/failures.sh [pauta|haneul [seed [seconds]]]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-pauta}
RANDOM=${2:-1}
length=${3:-20}
scripts/install.sh
scripts/build.sh build
bin=$PWD/build
work=$(mktemp -d)
. scripts/fleet.sh
region_names >/dev/null
trap 'stop_fleet; rm -rf "$work"' EXIT
start_fleet >/dev/null

control() { # port json
  exec 3<>"/dev/tcp/127.0.0.1/$1"
  printf 'POST /control HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "${#2}" "$2" >&3
  cat <&3 >/dev/null
  exec 3>&-
}

fault() { # number of the step
  local host=$((RANDOM % 6))
  case $((RANDOM % 6)) in
  0)
    echo "step $1: kill host-$host and replace it"
    kill -KILL "${pids[host-$host]}"
    wait "${pids[host-$host]}" 2>/dev/null || true
    sleep 0.7
    start_host "$host"
    ;;
  1)
    echo "step $1: freeze host-$host"
    kill -STOP "${pids[host-$host]}"
    sleep 2.5
    kill -CONT "${pids[host-$host]}"
    ;;
  2)
    echo "step $1: the store is out for 3 s"
    control 7100 '{"outageMs": 3000}'
    ;;
  3)
    echo "step $1: the store loses a third of its answers"
    control 7100 '{"loseAnswers": 0.33}'
    sleep 2
    control 7100 '{"loseAnswers": 0}'
    ;;
  4)
    local port=$((7200 + RANDOM % 12))
    echo "step $1: the engine on port $port crashes"
    control "$port" '{"crash": true}'
    ;;
  5)
    echo "step $1: host-$host is replaced gracefully"
    kill -TERM "${pids[host-$host]}"
    wait "${pids[host-$host]}" || true
    start_host "$host"
    ;;
  esac
}

"$bin/tools/shallot-load" mix --hosts "$all_callers" --deployment "$deployment" \
  --config "$work/config.json" --rate "${RATE:-40}" --seconds "$length" \
  --label failures >"$work/result.txt" &
load=$!
end=$((SECONDS + length - 2))
step=0
while [ $SECONDS -lt $end ]; do
  step=$((step + 1))
  fault $step
  sleep 0.$((RANDOM % 10))
done
status=0
wait $load || status=$?
cat "$work/result.txt"
exit $status
