#!/usr/bin/env bash
# Measures goodput through one event: a host's death, an outage of the store of
# 60 s, or a rolling replacement of all six hosts, under the pauta mix. Prints
# the completions of each second and the hosts' store calls; the exit status
# follows the promises only. Usage: scripts/recovery.sh death|outage|rolling
set -euo pipefail
cd "$(dirname "$0")/.."
event=${1:-death}
deployment=pauta
scripts/install.sh
scripts/build.sh build
bin=$PWD/build
work=$(mktemp -d)
. scripts/fleet.sh
trap 'stop_fleet; rm -rf "$work"' EXIT
start_fleet >/dev/null
length=40
[ "$event" = outage ] && length=90
"$bin/tools/shallot-load" mix --hosts "$all_callers" --deployment pauta \
  --config "$work/config.json" --rate 40 --seconds $length \
  --label "$event" >"$work/result.txt" &
load=$!
sleep 10
case $event in
death)
  echo "at 10 s: host-2 is killed"
  kill -KILL "${pids[host-2]}"
  wait "${pids[host-2]}" 2>/dev/null || true
  ;;
outage)
  echo "at 10 s: the store is out for 60 s"
  exec 3<>/dev/tcp/127.0.0.1/7100
  printf 'POST /control HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 19\r\n\r\n{"outageMs": 60000}' >&3
  cat <&3 >/dev/null
  exec 3>&-
  ;;
rolling)
  echo "from 10 s: all six hosts are replaced, one after another"
  for n in 0 1 2 3 4 5; do
    kill -TERM "${pids[host-$n]}"
    wait "${pids[host-$n]}"
    start_host $n
    wait_for 10 host_ready $n
  done
  echo "at $SECONDS s: all replaced"
  ;;
esac
status=0
wait $load || status=$?
cat "$work/result.txt"
ctl --admin "$all_admins" status 2>/dev/null | grep '"calls"' || true
exit $status
