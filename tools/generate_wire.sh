#!/usr/bin/env bash
# Regenerates the committed protobuf code. With --check, only checks that it is up
# to date with the .proto files.
set -euo pipefail
cd "$(dirname "$0")/.."
out=src/link/generated
if [[ ${1:-} == --check ]]; then
  out=$(mktemp -d)
  trap 'rm -rf "$out"' EXIT
fi
protoc -I proto --cpp_out="$out" --grpc_out="$out" \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" \
  proto/pomeloring.proto
protoc -I proto --cpp_out="$out" proto/duties.proto proto/peer_digest.proto \
  proto/scaling_records.proto proto/usage.proto
if [[ ${1:-} == --check ]]; then
  diff -r "$out" src/link/generated
  echo "generated code: up to date"
fi
