#!/usr/bin/env bash
# Installs everything that the build, the tests and the checks need.
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config capnproto libcapnp-dev libevent-dev
  libssl-dev libgoogle-glog-dev nlohmann-json3-dev libxxhash-dev libhttp-parser-dev
  prometheus-cpp-dev libcli11-dev cpputest libcpputest-dev librapidcheck-dev
  libbenchmark-dev clang-format clang-tidy)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
$sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${packages[@]}"
