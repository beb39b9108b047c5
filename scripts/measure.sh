#!/usr/bin/env bash
# Measures one host on loopback: added latency of an idle path, requests/s on
# one core, memory. Prints figures; judges nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh build
bin=$PWD/build
work=$(mktemp -d)
deployment=haneul
work_ms=0
. scripts/fleet.sh
trap 'stop_fleet; rm -rf "$work"' EXIT
start_fleet >/dev/null
sleep 3
cpu_ticks() { awk '{print $14 + $15}' "/proc/${pids[host-0]}/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/${pids[host-0]}/status"; }
echo "memory at rest: $(rss) KiB"
before=$(cpu_ticks)
sleep 10
echo "processor at rest: $((($(cpu_ticks) - before))) ticks of 10 ms in 10 s"
echo "added latency, one call at a time:"
"$bin/tools/shallot-load" latency --host 127.0.0.1:7400 --direct 127.0.0.1:7300 \
  --kind stock-lookup --customer shop --count 3000
for connections in 8 48; do
  before=$(cpu_ticks)
  echo "flood over $connections connections:"
  "$bin/tools/shallot-load" flood --host 127.0.0.1:7400 --kind stock-lookup \
    --customer shop --count 40000 --connections $connections
  echo "processor of host-0: $((($(cpu_ticks) - before))) ticks of 10 ms"
done
before=$(cpu_ticks)
echo "streams relayed by one host, 100 requests/s for 10 s:"
"$bin/tools/shallot-load" mix --hosts 127.0.0.1:7400 --deployment haneul \
  --config "$work/config.json" --rate 100 --seconds 10 | grep -E 'output tokens|^load|^doubled'
echo "processor of host-0: $((($(cpu_ticks) - before))) ticks of 10 ms"
echo "memory after: $(rss) KiB"
