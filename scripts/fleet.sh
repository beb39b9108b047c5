#!/usr/bin/env bash
# Functions that start and stop a fleet on loopback: the stand-ins in three
# regions and six daemons, two a region. Meant to be sourced; $deployment
# chooses the configuration, $work is an existing folder for settings and logs.

peer_key=loopback-peer-key-0001
admin_key=loopback-admin-key-001
declare -A pids=()

region_names() {
  case "$deployment" in
  pauta) echo serra litoral capital ;;
  haneul) echo jeonju seoul busan ;;
  *)
    echo "deployment \"$deployment\" does not exist; expected pauta or haneul" >&2
    return 2
    ;;
  esac
}

write_settings() { # number region
  local n=$1
  cat >"$work/host-$n.json" <<EOF
{
  "host": "host-$n",
  "region": "$2",
  "domain": "$2-$([ $((n % 2)) -eq 0 ] && echo a || echo b)",
  "caller": "127.0.0.1:$((7400 + n))",
  "admin": "127.0.0.1:$((7500 + n))",
  "peer": "127.0.0.1:$((7600 + n))",
  "store": "127.0.0.1:7100",
  "seeds": ["127.0.0.1:7600", "127.0.0.1:7602", "127.0.0.1:7604"],
  "peerKey": "$peer_key",
  "adminKey": "$admin_key"
}
EOF
}

start_host() { # number
  "$bin/tools/shallotlatchd" --config "$work/host-$1.json" \
    2>>"$work/host-$1.log" &
  pids[host-$1]=$!
}

host_list() {
  local regions=($(region_names)) n out=""
  for n in 0 1 2 3 4 5; do
    out+="{\"name\":\"host-$n\",\"region\":\"${regions[$((n / 2))]}\","
    out+="\"domain\":\"${regions[$((n / 2))]}-$([ $((n % 2)) -eq 0 ] && echo a || echo b)\","
    out+="\"peer\":\"127.0.0.1:$((7600 + n))\"},"
  done
  echo "{\"hosts\":[${out%,}]}"
}

start_standins() {
  "$bin/tools/shallot-standin" store --port 7100 2>"$work/store.log" &
  pids[store]=$!
  local r
  for r in 0 1 2; do
    "$bin/tools/shallot-standin" targets \
      --engine $((7200 + 4 * r)) $((7201 + 4 * r)) $((7202 + 4 * r)) \
      $((7203 + 4 * r)) --service $((7300 + r)) \
      --work-ms "${work_ms:-5}" 2>"$work/targets-$r.log" &
    pids[targets-$r]=$!
  done
}

wait_for() { # seconds command...
  local tries=$(($1 * 10))
  shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ $tries -gt 0 ] || return 1
    sleep 0.1
  done
}

port_open() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
ctl() { SHALLOT_ADMIN_KEY=$admin_key "$bin/tools/shallotctl" "$@"; }
host_ready() { ctl --admin "127.0.0.1:$((7500 + $1))" status | grep -q '"ready": true'; }

put_object() { # name body
  local length=${#2}
  exec 3<>/dev/tcp/127.0.0.1/7100
  printf 'PUT /objects/%s HTTP/1.1\r\nHost: store\r\nIf-Match: 0\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "$length" "$2" >&3
  grep -q '200 OK' <&3
  exec 3>&-
}

start_fleet() {
  local regions=($(region_names)) n
  start_standins
  wait_for 10 port_open 7100
  put_object hosts "$(host_list)"
  for n in 0 1 2 3 4 5; do
    write_settings "$n" "${regions[$((n / 2))]}"
    start_host "$n"
  done
  for n in 0 1 2 3 4 5; do
    wait_for 10 port_open $((7500 + n))
  done
  local example=$bin/examples/example-pauta-serrana
  [ "$deployment" = haneul ] && example=$bin/examples/example-haneul
  "$example" >"$work/config.json"
  ctl --as demo review "$work/config.json" >"$work/review.txt"
  ctl --as demo apply "$work/config.json" --version 0
  for n in 0 1 2 3 4 5; do
    wait_for 10 host_ready "$n" || {
      echo "host-$n is not ready" >&2
      return 1
    }
  done
}

stop_fleet() {
  local name
  for name in "${!pids[@]}"; do
    case $name in host-*) kill -TERM "${pids[$name]}" 2>/dev/null || true ;; esac
  done
  for name in "${!pids[@]}"; do
    case $name in host-*) wait "${pids[$name]}" 2>/dev/null || true ;; esac
  done
  for name in "${!pids[@]}"; do
    kill -TERM "${pids[$name]}" 2>/dev/null || true
  done
  for name in "${!pids[@]}"; do
    wait "${pids[$name]}" 2>/dev/null || true
  done
  pids=()
}

all_callers=127.0.0.1:7400,127.0.0.1:7401,127.0.0.1:7402,127.0.0.1:7403,127.0.0.1:7404,127.0.0.1:7405
all_admins=127.0.0.1:7500,127.0.0.1:7501,127.0.0.1:7502,127.0.0.1:7503,127.0.0.1:7504,127.0.0.1:7505
