#!/usr/bin/env bash
# Installs the packages that the build and the tests need on Debian 12. Does
# nothing if all of them are installed.
set -euo pipefail

packages=(
  g++ cmake ninja-build pkg-config ccache clang-format clang-tidy curl python3
  libboost1.81-dev libboost-json1.81-dev libfmt-dev libssl-dev libxxhash-dev
  libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc
  doctest-dev librapidcheck-dev libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if ((${#missing[@]} > 0)); then
  run=()
  if ((EUID != 0)); then
    run=(sudo)
  fi
  "${run[@]}" apt-get update
  "${run[@]}" env DEBIAN_FRONTEND=noninteractive \
    apt-get install -y "${missing[@]}"
fi
